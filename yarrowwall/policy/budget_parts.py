"""Division of a program's budget among ledgers, and the pieces that a turn takes. No I/O.

A budget is divided beforehand: the common group may grant one part of it, the group of each
zone another. Each ledger guarantees the sum of what it grants by itself, so the sum of all
never exceeds the budget, whoever reaches whom.
"""

from collections import Counter
from collections.abc import Mapping
from enum import IntEnum
from typing import NamedTuple, Protocol

#: Share of a budget that the common group may grant, in percent. Ordinary programs rarely leave
#: it; a larger one would leave a zone's part of a small budget too little for a turn.
COMMON_PERCENT = 50
#: Least share of what a turn wants, in percent, that is worth a start while a ledger cannot be
#: asked. Most turns emit no more; one that would is broken off, and without a start all would be
#: lost for the length of a cut.
MIN_SHARE_PERCENT = 20

#: Begins the key of what a turn that was granted less than its most claims once more.
_MORE_PREFIX = "budget-more/"


class BudgetParts(NamedTuple):
    """The division of one budget.

    :param common: tokens that the common group may grant.
    :param per_zone: tokens that each zone's group may grant.
    """

    common: int
    per_zone: int


def divide_budget(budget: int, zones: int) -> BudgetParts:
    """Return the parts of a budget; together they make up the budget."""
    if zones == 0:
        return BudgetParts(budget, 0)
    per_zone = budget * (100 - COMMON_PERCENT) // (100 * zones)
    return BudgetParts(budget - zones * per_zone, per_zone)


def further_claim_key(key: str, number: int) -> str:
    """Return the key of a further claim of a turn that was granted less than it wants.

    It comes before the keys of all first claims, so turns that are under way go first.
    """
    return f"{_MORE_PREFIX}{number}/{key}"


def first_claim_key(key: str) -> str:
    """Return the key of a turn's first claim, given that of any."""
    if not key.startswith(_MORE_PREFIX):
        return key
    return key.removeprefix(_MORE_PREFIX).partition("/")[2]


class ClaimState(IntEnum):
    """How sure a claim is; these are versions of its record, so a later one replaces it."""

    #: Written, and its turn may still be refused or need less.
    RESERVED = 0
    #: Granted at this amount, and the turn is not over.
    GRANTED = 1
    #: The turn is over and emitted this amount.
    SETTLED = 2


class Claim(Protocol):
    """What another turn of the program holds of a part."""

    @property
    def version(self) -> int:
        """Return its state."""

    @property
    def tokens(self) -> int:
        """Return what it counts for."""


class PartReading(NamedTuple):
    """What a turn knows of one part after its own claim was written there.

    :param size: tokens of the part.
    :param asked: tokens that the turn has claimed there.
    :param others: claims of other turns by their key, which is the same in all groups.
    """

    size: int
    asked: int
    others: Mapping[str, Claim]

    @property
    def free(self) -> int:
        """Return the tokens that the turn may take."""
        used = sum(claim.tokens for claim in self.others.values())
        return max(0, min(self.asked, self.size - used))


def pieces_to_take(readings: Mapping[int, PartReading], wanted: int) -> dict[int, int]:
    """Return what a turn takes of each group's part, in their order, up to what it wants."""
    found = {}
    left = wanted
    for group, reading in readings.items():
        found[group] = min(reading.free, left)
        left -= found[group]
    return found


class Verdict(IntEnum):
    """What follows from the readings of all parts that could be asked."""

    GRANTED = 0
    #: Less than is wanted, but a turn may begin with it: some part could not be asked.
    SHORT = 1
    #: The budget does not hold the turn.
    EXHAUSTED = 2
    #: Turns behind it that came at once are in the way, and will give up; look again.
    CONTENDED = 3
    #: Turns in front of it are in the way, or a part that matters could not be asked.
    UNCERTAIN = 4


def decide_grant(
    readings: Mapping[int, PartReading], key: str, wanted: int, unread: int
) -> Verdict:
    """Return what becomes of a turn.

    Turns that come at once may all claim what only one can have. The first one in order of keys
    goes on, the others give up.

    :param key: of the turn's own claims.
    :param unread: tokens of the parts that could not be asked; they may all be free.
    """
    if not readings:
        return Verdict.UNCERTAIN
    taken = sum(pieces_to_take(readings, wanted).values())
    if taken >= wanted:
        return Verdict.GRANTED
    if is_exhausted(readings, key, wanted, unread):
        return Verdict.EXHAUSTED
    least = wanted if unread == 0 else max(1, -(-MIN_SHARE_PERCENT * wanted // 100))
    if taken >= least:
        return Verdict.SHORT
    is_worth_waiting = sum(_free_later(reading, key) for reading in readings.values()) >= least
    return Verdict.CONTENDED if is_worth_waiting else Verdict.UNCERTAIN


def is_exhausted(readings: Mapping[int, PartReading], key: str, wanted: int, unread: int) -> bool:
    """Return whether a budget cannot hold a turn beside those in front, whatever is unread."""
    return _left(readings, in_front_of=key) + unread < wanted


def is_permanently_exhausted(readings: Mapping[int, PartReading], wanted: int, unread: int) -> bool:
    """Return whether a budget will never hold such a turn again: what is settled stays so."""
    left = unread
    for reading in readings.values():
        claims = reading.others.values()
        left += reading.size
        left -= sum([claim.tokens for claim in claims if claim.version == ClaimState.SETTLED])
    return left < wanted


def _free_later(reading: PartReading, key: str) -> int:
    """Return the tokens that a turn may take once those behind it have given up."""
    used = sum(
        claim.tokens
        for other, claim in reading.others.items()
        if claim.version > ClaimState.RESERVED or other < key
    )
    return max(0, min(reading.asked, reading.size - used))


def fits_with_all_claims(readings: Mapping[int, PartReading], wanted: int) -> bool:
    """Return whether a turn fits beside all others, each counted with the most it may get."""
    return _left(readings) >= wanted


def _left(readings: Mapping[int, PartReading], in_front_of: str | None = None) -> int:
    """Return what all parts hold beside others, each counted with the least that it may get.

    While a turn is undecided it has claimed all that it wants where it asked first, and the rest
    elsewhere, and parts are looked at one after the other. So what is sure in one part may be
    a piece of what is still claimed in another, and so may what it claimed once more.

    :param in_front_of: leave out undecided turns behind this one in order.
    """
    left = 0
    sure: Counter[str] = Counter()
    undecided: dict[str, int] = {}
    for reading in readings.values():
        left += reading.size
        for key, claim in reading.others.items():
            turn = first_claim_key(key)
            if claim.version > ClaimState.RESERVED:
                sure[turn] += claim.tokens
            elif in_front_of is None or key < in_front_of:
                undecided[turn] = max(undecided.get(turn, 0), claim.tokens)
    return left - sum(max(sure[turn], undecided.get(turn, 0)) for turn in sure.keys() | undecided)


def allocate_spent(pieces: Mapping[int, int], tokens: int) -> dict[int, int]:
    """Return how much of each piece a turn has spent; the rest is handed back.

    What it emitted beyond all pieces counts at the first one: no token goes uncounted.
    """
    spent = {}
    left = tokens
    for group, held in pieces.items():
        spent[group] = min(held, left)
        left -= spent[group]
    if left and spent:
        spent[next(iter(spent))] += left
    return spent
