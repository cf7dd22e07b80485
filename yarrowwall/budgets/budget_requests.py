"""What a turn wants of its program's budget, and what the groups tell of it. No I/O."""

from collections.abc import Iterable
from typing import NamedTuple

from yarrowwall.model import ProgramContext
from yarrowwall.policy.budget_parts import (
    BudgetParts,
    ClaimState,
    PartReading,
    further_claim_key,
    is_exhausted,
    is_permanently_exhausted,
    pieces_to_take,
)
from yarrowwall.replication.rounds import Amount

_BUDGET_PREFIX = "budget/"
#: Begins the key of what tells the common group that a turn ran by a zone's part alone.
TRACE_PREFIX = "zone-turn/"
#: Begins the key of what tells the common group that all parts together hold no further turn.
#: Programs that go on all the same, and whose budgets are small, were 0.13 of all turns of a
#: heavy day's first 15 s; each of these turns asked and settled five groups instead of one.
_SPENT_PREFIX = "budget-spent/"


class TokenClaim(NamedTuple):
    """Tokens that a turn wants.

    :param program_id: the program, as one of its tenant's.
    :param program_name: the program as callers name it.
    :param key: of the turn's records, the same in all groups.
    :param common: the program's common group.
    :param given_up: keys of claims of the same turn that were not granted, and are settled soon.
    """

    program_id: str
    program_name: str
    attempt_id: str
    key: str
    tokens: int
    retention: float
    common: int
    given_up: frozenset[str] = frozenset()


def claim_for(
    program_id: str, program: ProgramContext, attempt_id: str, retention: float, common: int
) -> TokenClaim:
    """Return what a turn of a program wants."""
    key = f"{_BUDGET_PREFIX}{program_id}/{attempt_id}"
    return TokenClaim(
        program_id, program.program_id, attempt_id, key, program.max_tokens, retention, common
    )


def further_claim(
    wanted: TokenClaim, tokens: int, number: int, given_up: Iterable[str]
) -> TokenClaim:
    """Return what a turn wants beside its first claim, as another turn would.

    :param number: of the claim: those that were given up are settled, so each has a key of its own.
    :param given_up: keys of those.
    """
    key = further_claim_key(wanted.key, number)
    return wanted._replace(key=key, tokens=tokens, given_up=frozenset(given_up))


class Reservation(NamedTuple):
    """A granted reservation, and what it tells of its program.

    :param pieces: tokens granted by each group.
    :param granted: the sum of these; less than what was wanted if some group was out of reach.
    :param last_server: where its turn before ran; empty if unknown.
    :param is_first: whether the program surely emitted nothing, and nothing of it is under way.
    """

    wanted: TokenClaim
    pieces: dict[int, int]
    granted: int
    last_server: str
    is_first: bool

    @property
    def is_short(self) -> bool:
        """Return whether the turn got less than the most that it may emit."""
        return self.granted < self.wanted.tokens


class GroupState(NamedTuple):
    """What a group told of a program beside one reservation.

    :param amounts: by key, all that was met so far.
    :param tokens: the sum of these.
    """

    amounts: dict[str, Amount]
    note: str
    tokens: int

    @property
    def is_settled(self) -> bool:
        """Return whether no other turn is under way."""
        return all(amount.version >= ClaimState.SETTLED for amount in self.amounts.values())

    @property
    def is_blank(self) -> bool:
        """Return whether the program has emitted nothing, and nothing of it is under way."""
        return self.tokens == 0 and not any(key.startswith(TRACE_PREFIX) for key in self.amounts)


def group_state(amounts: dict[str, Amount], note: str) -> GroupState:
    """Return what a group told, given the other reservations that it holds."""
    return GroupState(amounts, note, sum([amount.tokens for amount in amounts.values()]))


class BudgetRequest:
    """One turn's reservation on its way through the groups.

    :param parts: the division of its program's budget.
    :param zones: how many zones' groups may be asked beside the common one.
    """

    def __init__(self, wanted: TokenClaim, parts: BudgetParts, zones: int) -> None:
        self.wanted = wanted
        self.common = wanted.common
        self._zones = zones
        self._parts = parts
        self.held: dict[int, GroupState] = {}
        #: What the turn may take of each part that was asked.
        self.pieces: dict[int, int] = {}
        self.asked: dict[int, int] = {}
        self.unreachable: list[int] = []
        self.failure = ""

    @property
    def readings(self) -> dict[int, PartReading]:
        """Return what is known of each part that was asked."""
        return {
            group: PartReading(self._size(group), self.asked[group], held.amounts)
            for group, held in self.held.items()
        }

    @property
    def unread(self) -> int:
        """Return the tokens of the parts of which nothing is known."""
        is_common_read = self.common in self.held
        zones_unread = self._zones - (len(self.held) - is_common_read)
        return zones_unread * self._parts.per_zone + (0 if is_common_read else self._parts.common)

    @property
    def is_exhausted(self) -> bool:
        """Return whether the budget is too small, whatever the parts hold that were not asked."""
        if self._is_marked_spent:
            return True
        wanted = self.wanted
        return is_exhausted(self.readings, wanted.key, wanted.tokens, self.unread)

    @property
    def spent_mark(self) -> str | None:
        """Return the key that spares the program's next turns the way to all groups.

        None if some of them may fit, or if the common group has it.
        """
        if not self._parts.per_zone or self._is_marked_spent:
            return None
        if not is_permanently_exhausted(self.readings, self.wanted.tokens, self.unread):
            return None
        return f"{self._mark_prefix}{self.wanted.tokens}"

    @property
    def _is_marked_spent(self) -> bool:
        held = self.held.get(self.common)
        prefix = self._mark_prefix
        marks = [key for key in held.amounts if key.startswith(prefix)] if held is not None else []
        return any(int(key.removeprefix(prefix)) <= self.wanted.tokens for key in marks)

    @property
    def _mark_prefix(self) -> str:
        return f"{_SPENT_PREFIX}{self.wanted.program_id}/"

    def take(self, group: int, held: GroupState) -> None:
        """Take in what a group told."""
        self.held[group] = held
        self.pieces = pieces_to_take(self.readings, self.wanted.tokens)

    def drop(self, group: int) -> None:
        """Take nothing of a group that tells no more."""
        del self.held[group]
        self.pieces = pieces_to_take(self.readings, self.wanted.tokens)

    @property
    def missing(self) -> int:
        """Return the tokens that the parts asked so far do not hold."""
        return self.wanted.tokens - sum(self.pieces.values())

    @property
    def used(self) -> int:
        """Return what other turns hold of the parts that were asked."""
        return sum(held.tokens for held in self.held.values())

    @property
    def last_server(self) -> str:
        """Return where the program's turn before ran."""
        return next((held.note for held in self.held.values() if held.note), "")

    @property
    def is_first(self) -> bool:
        """Return whether the program surely emitted nothing before."""
        is_blank = all(held.is_blank for held in self.held.values())
        return self.common in self.held and is_blank

    def _size(self, group: int) -> int:
        return self._parts.common if group == self.common else self._parts.per_zone
