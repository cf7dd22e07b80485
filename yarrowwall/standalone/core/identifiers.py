"""Program ids, which contain the home zone so that any gateway can route requests."""

from yarrowwall.messages.journal import Ballot

_SEPARATOR = "."
_SINGLE_CALL_MARK = "c"
_PROGRAM_MARK = "p"
_INCARNATION_SEPARATOR = "#"


def make_program_id(zone: str, unique: str, single_call: bool = False) -> str:
    """Return a program id.

    :param zone: the home zone.
    :param unique: text that is unique among the programs of the zone.
    :param single_call: whether the program consists of one call made without a program.
    """
    mark = _SINGLE_CALL_MARK if single_call else _PROGRAM_MARK
    return _SEPARATOR.join((zone, mark + unique))


def home_zone(program_id: str) -> str:
    """Return the zone whose nodes own the program."""
    return program_id.rpartition(_SEPARATOR)[0]


def is_single_call(program_id: str) -> bool:
    """Return whether the program ends with its first call."""
    return program_id.rpartition(_SEPARATOR)[2].startswith(_SINGLE_CALL_MARK)


def ballot_holder(node_id: str, incarnation: int) -> str:
    """Return the holder that ballots contain for a node's incarnation."""
    return f"{node_id}{_INCARNATION_SEPARATOR}{incarnation:020d}"


def node_of(ballot: Ballot) -> str:
    """Return the id of the node that holds a ballot."""
    return ballot.holder.partition(_INCARNATION_SEPARATOR)[0]
