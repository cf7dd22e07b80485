"""Division of a program's budget into parts, and allocation of turns to them. No I/O.

A budget is divided in advance: the common group may grant one part of it, and the group of each
zone another. Each group's ledger never grants more than its part, so the sum never exceeds the
budget, even while the groups cannot reach one another.
"""

from collections import Counter
from collections.abc import Mapping
from enum import IntEnum
from typing import NamedTuple, Protocol

#: Share of a budget that the common group may grant, in percent. Ordinary programs rarely need
#: more; a larger share would make a zone's part of a small budget too small for a turn.
COMMON_PERCENT = 50
#: Share of the tokens that a turn wants, in percent, that is enough to start it while a ledger
#: cannot be reached. Most turns emit no more. One that would is broken off; refusing to start would
#: fail every turn for the length of a network partition.
MIN_SHARE_PERCENT = 20

#: Prefix of the keys of further claims, made by turns that were granted less than they want.
_MORE_PREFIX = "budget-more/"


class BudgetParts(NamedTuple):
    """The division of one budget.

    :param common: tokens that the common group may grant.
    :param per_zone: tokens that the group of each zone may grant.
    """

    common: int
    per_zone: int


def divide_budget(budget: int, zones: int) -> BudgetParts:
    """Return the parts of a budget; their sum is the budget."""
    if zones == 0:
        return BudgetParts(budget, 0)
    per_zone = budget * (100 - COMMON_PERCENT) // (100 * zones)
    return BudgetParts(budget - zones * per_zone, per_zone)


def further_claim_key(key: str, number: int) -> str:
    """Return the key of a further claim of a turn that was granted less than it wants.

    It sorts before the keys of all first claims, so turns in progress have priority.
    """
    return f"{_MORE_PREFIX}{number}/{key}"


def first_claim_key(key: str) -> str:
    """Return the key of a turn's first claim, given the key of any of its claims."""
    if not key.startswith(_MORE_PREFIX):
        return key
    return key.removeprefix(_MORE_PREFIX).partition("/")[2]


class ClaimState(IntEnum):
    """State of a claim: the version of its record, so a later state replaces an earlier one."""

    #: Written; the turn may still be refused or need less.
    RESERVED = 0
    #: Granted at this amount; the turn has not ended.
    GRANTED = 1
    #: The turn has ended and emitted this amount.
    SETTLED = 2


class Claim(Protocol):
    """A claim of another turn of the program on a part."""

    @property
    def version(self) -> int:
        """Return the state of the claim."""

    @property
    def tokens(self) -> int:
        """Return the tokens that the claim counts for."""


class PartReading(NamedTuple):
    """The claims on one part, as read after a turn's own claim was written.

    :param size: tokens of the part.
    :param asked: tokens that the turn has claimed of it.
    :param others: claims of other turns by key, which is the same in all groups.
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
    """Return the tokens that a turn takes of each group's part, in order, up to ``wanted``."""
    pieces = {}
    left = wanted
    for group, reading in readings.items():
        pieces[group] = min(reading.free, left)
        left -= pieces[group]
    return pieces


class Verdict(IntEnum):
    """The decision that follows from all parts that could be read."""

    GRANTED = 0
    #: Granted less than is wanted, but enough to start: some part could not be read.
    SHORT = 1
    #: The budget does not have enough tokens for the turn.
    EXHAUSTED = 2
    #: Concurrent turns later in the order hold claims that they will withdraw; read again.
    CONTENDED = 3
    #: Turns earlier in the order hold claims, or a part that matters could not be read.
    UNCERTAIN = 4


def decide_grant(
    readings: Mapping[int, PartReading], key: str, wanted: int, unread: int
) -> Verdict:
    """Return the decision on a turn.

    Concurrent turns may all claim tokens that suffice for only one of them. The first in the order
    of keys proceeds, and the others withdraw.

    :param key: key of the turn's own claims.
    :param unread: tokens of the parts that could not be read; all of them may be free.
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
    """Return whether a budget lacks the tokens for a turn, even if all unread ones are free.

    Undecided claims of turns later in the order do not count.
    """
    return _tokens_left(readings, before_key=key) + unread < wanted


def is_permanently_exhausted(
    readings: Mapping[int, PartReading], wanted: int, unread: int, turn: str = ""
) -> bool:
    """Return whether the settled claims alone leave too little for a turn; this is final.

    :param turn: key of the first claim of a turn whose claims count too; empty for none. A turn
        that needs more tokens gains nothing from those that it holds itself.
    """
    left = unread
    for reading in readings.values():
        left += reading.size - sum(
            [
                claim.tokens
                for key, claim in reading.others.items()
                if claim.version == ClaimState.SETTLED or first_claim_key(key) == turn
            ]
        )
    return left < wanted


def _free_later(reading: PartReading, key: str) -> int:
    """Return the tokens that a turn may take once turns later in the order have withdrawn."""
    used = sum(
        claim.tokens
        for other, claim in reading.others.items()
        if claim.version > ClaimState.RESERVED or other < key
    )
    return max(0, min(reading.asked, reading.size - used))


def fits_with_all_claims(readings: Mapping[int, PartReading], wanted: int) -> bool:
    """Return whether a turn fits in addition to the claims of all other turns."""
    return _tokens_left(readings) >= wanted


def _tokens_left(readings: Mapping[int, PartReading], before_key: str | None = None) -> int:
    """Return the tokens of all parts that are left by other turns.

    An undecided turn has claimed all that it wants of the first part that it asked, and the rest of
    others, and the parts are read one after another. So tokens granted of one part, or by a further
    claim, may be included in a claim that is still undecided in another part. Each turn therefore
    counts once, with its granted or its undecided tokens, whichever are more.

    :param before_key: ignore undecided turns that do not come before this key.
    """
    left = 0
    granted: Counter[str] = Counter()
    undecided: dict[str, int] = {}
    for reading in readings.values():
        left += reading.size
        for key, claim in reading.others.items():
            turn = first_claim_key(key)
            if claim.version > ClaimState.RESERVED:
                granted[turn] += claim.tokens
            elif before_key is None or key < before_key:
                undecided[turn] = max(undecided.get(turn, 0), claim.tokens)
    return left - sum(
        max(granted[turn], undecided.get(turn, 0)) for turn in granted.keys() | undecided
    )


def allocate_spent(pieces: Mapping[int, int], tokens: int) -> dict[int, int]:
    """Return how much of each piece a turn has spent; the rest is returned to the parts.

    Tokens emitted beyond all pieces are added to the first one, so that every token is counted.
    """
    spent = {}
    left = tokens
    for group, held in pieces.items():
        spent[group] = min(held, left)
        left -= spent[group]
    if left and spent:
        spent[next(iter(spent))] += left
    return spent
