"""A turn's claim on its program's budget, and the state of the groups it is made in. No I/O."""

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from yarrowwall.budgets.record_names import RecordName
from yarrowwall.budgets.stream_keys import claim_key
from yarrowwall.model import ProgramContext
from yarrowwall.policy.budget_parts import (
    BudgetParts,
    ClaimState,
    PartReading,
    first_claim_key,
    further_claim_key,
    is_exhausted,
    is_permanently_exhausted,
    pieces_to_take,
)
from yarrowwall.replication.rounds import Amount

#: Key prefix of the records in the common group of turns that ran from a zone's part alone.
ZONE_TURN_PREFIX = "zone-turn/"
#: Key prefix of the records in the common group of programs whose parts together hold no further
#: turn. Programs with small budgets that continue all the same made up 0.13 of all turns in the
#: first 15 s under heavy load. Without such a record, each of these turns asks and settles five
#: groups instead of one.
_EXHAUSTED_PREFIX = "budget-spent/"


class TokenClaim(NamedTuple):
    """The tokens that a turn claims.

    :param program_id: The program's name in the record store, which owns its records.
    :param program_name: The program's id as callers use it.
    :param key: Key of the turn's records, the same in all groups.
    :param tokens: The most tokens that the turn may emit.
    :param retention_s: Seconds for which the route keeps records.
    :param common_group: The program's common group.
    :param request: Identity of the request that the turn answers, equal for all tries of it.
    :param withdrawn_keys: Keys of the turn's claims that were not granted and are being settled.
    """

    program_id: RecordName
    program_name: str
    attempt_id: str
    key: str
    tokens: int
    retention_s: float
    common_group: int
    request: str = ""
    withdrawn_keys: frozenset[str] = frozenset()


def claim_for(
    program_id: RecordName,
    program: ProgramContext,
    attempt_id: str,
    retention_s: float,
    common_group: int,
    software: str = "",
    request: str = "",
) -> TokenClaim:
    """Return the claim of a turn on its program's budget.

    :param software: The software that is expected to run a turn that may be resumed.
    :param request: Identity of the request that the turn answers.
    """
    key = claim_key(program_id, attempt_id, software)
    return TokenClaim(
        program_id,
        program.program_id,
        attempt_id,
        key,
        program.max_tokens,
        retention_s,
        common_group,
        request,
    )


def further_claim(
    claim: TokenClaim, tokens: int, number: int, withdrawn_keys: Iterable[str]
) -> TokenClaim:
    """Return a further claim of a turn, which counts like the claim of another turn.

    :param number: Number of the claim. Withdrawn claims are settled, so each needs a different key.
    :param withdrawn_keys: Keys of the withdrawn claims.
    """
    key = further_claim_key(claim.key, number)
    return claim._replace(key=key, tokens=tokens, withdrawn_keys=frozenset(withdrawn_keys))


class Reservation(NamedTuple):
    """A granted reservation.

    :param tokens_by_group: Tokens granted by each group.
    :param granted: Their sum; less than the claim if some group was unreachable.
    :param last_server: The server of the program's previous turn; empty if unknown.
    :param is_first: Whether the program certainly has emitted nothing and runs no other turn.
    :param claimed_groups: Groups that have, or may have, a record of the claim.
    :param others_by_group: Other claims of the program, by key, in each group that answered.
    """

    claim: TokenClaim
    tokens_by_group: dict[int, int]
    granted: int
    last_server: str
    is_first: bool
    claimed_groups: Sequence[int]
    others_by_group: Mapping[int, Mapping[str, Amount]]

    @property
    def is_short(self) -> bool:
        """Return whether fewer tokens were granted than the turn may emit."""
        return self.granted < self.claim.tokens


class GroupState(NamedTuple):
    """Other claims on a program's budget in one group.

    :param amounts: All claims seen so far, by key.
    :param server_hint: A server that ran a recent turn of the program; empty if unknown.
    :param tokens: The sum of their tokens.
    """

    amounts: dict[str, Amount]
    server_hint: str
    tokens: int

    @property
    def unsettled_tokens(self) -> int:
        """Return the tokens of turns that have not ended."""
        return sum(
            [
                amount.tokens
                for amount in self.amounts.values()
                if amount.version < ClaimState.SETTLED
            ]
        )

    @property
    def is_settled(self) -> bool:
        """Return whether no other turn is running."""
        return all(amount.version >= ClaimState.SETTLED for amount in self.amounts.values())

    @property
    def is_unused(self) -> bool:
        """Return whether the program has emitted nothing and has no other turn running."""
        return self.tokens == 0 and not any(
            key.startswith(ZONE_TURN_PREFIX) for key in self.amounts
        )


def group_state(amounts: dict[str, Amount], server_hint: str) -> GroupState:
    """Return a group's state, given the other claims that it holds."""
    return GroupState(amounts, server_hint, sum([amount.tokens for amount in amounts.values()]))


class BudgetRequest:
    """The progress of one turn's claim across the groups.

    :param parts: The division of its program's budget.
    :param zones: Number of zone groups that may be asked in addition to the common group.
    """

    def __init__(self, claim: TokenClaim, parts: BudgetParts, zones: int) -> None:
        self.claim = claim
        self.common_group = claim.common_group
        self._zones = zones
        self._parts = parts
        self.states: dict[int, GroupState] = {}
        #: Tokens that the turn may take from each group that answered.
        self.tokens_by_group: dict[int, int] = {}
        self.claimed: dict[int, int] = {}
        self.unreachable: list[int] = []
        self.failure = ""

    @property
    def readings(self) -> dict[int, PartReading]:
        """Return the state of each part whose group answered."""
        return {
            group: PartReading(self._part_size(group), self.claimed[group], state.amounts)
            for group, state in self.states.items()
        }

    @property
    def unread_tokens(self) -> int:
        """Return the total size of the parts whose groups have not answered."""
        is_common_read = self.common_group in self.states
        zones_unread = self._zones - (len(self.states) - is_common_read)
        return zones_unread * self._parts.per_zone + (0 if is_common_read else self._parts.common)

    @property
    def is_exhausted(self) -> bool:
        """Return whether the budget is too small even if all unread parts are free."""
        if self._is_marked_exhausted:
            return True
        claim = self.claim
        return is_exhausted(self.readings, claim.key, claim.tokens, self.unread_tokens)

    @property
    def exhausted_marker(self) -> str | None:
        """Return the key of the record that lets later turns be refused by the common group alone.

        None if a later turn may fit, or if the common group already has such a record.
        """
        if not self._parts.per_zone or self._is_marked_exhausted:
            return None
        if not is_permanently_exhausted(self.readings, self.claim.tokens, self.unread_tokens):
            return None
        return f"{self._marker_prefix}{self.claim.tokens}"

    @property
    def is_finally_exhausted(self) -> bool:
        """Return whether the budget is too small whatever other turns release."""
        return self._is_marked_exhausted or is_permanently_exhausted(
            self.readings, self.claim.tokens, self.unread_tokens, first_claim_key(self.claim.key)
        )

    @property
    def _is_marked_exhausted(self) -> bool:
        state = self.states.get(self.common_group)
        prefix = self._marker_prefix
        marks = (
            [key for key in state.amounts if key.startswith(prefix)] if state is not None else []
        )
        return any(int(key.removeprefix(prefix)) <= self.claim.tokens for key in marks)

    @property
    def _marker_prefix(self) -> str:
        return f"{_EXHAUSTED_PREFIX}{self.claim.program_id}/"

    def add_state(self, group: int, state: GroupState) -> None:
        """Add the state of a group that answered."""
        self.states[group] = state
        self.tokens_by_group = pieces_to_take(self.readings, self.claim.tokens)

    def drop_state(self, group: int) -> None:
        """Remove a group that no longer answers."""
        del self.states[group]
        self.tokens_by_group = pieces_to_take(self.readings, self.claim.tokens)

    @property
    def missing_tokens(self) -> int:
        """Return the claimed tokens that the groups asked so far cannot grant."""
        return self.claim.tokens - sum(self.tokens_by_group.values())

    @property
    def used_tokens(self) -> int:
        """Return the tokens that other turns hold in the groups asked so far."""
        return sum(state.tokens for state in self.states.values())

    @property
    def unsettled_tokens(self) -> int:
        """Return the tokens that turns which have not ended hold in the groups asked so far."""
        return sum(state.unsettled_tokens for state in self.states.values())

    @property
    def last_server(self) -> str:
        """Return the server of the program's previous turn; empty if unknown."""
        return next((state.server_hint for state in self.states.values() if state.server_hint), "")

    @property
    def is_first(self) -> bool:
        """Return whether the program certainly has emitted nothing before."""
        is_unused = all(state.is_unused for state in self.states.values())
        return self.common_group in self.states and is_unused

    def _part_size(self, group: int) -> int:
        return self._parts.common if group == self.common_group else self._parts.per_zone
