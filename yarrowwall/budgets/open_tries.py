"""Other tries of a turn whose claims are not settled: a server may have ended under them.

A gateway that is lost under a turn settles no claim and reports no end of a server.
"""

import contextlib
from collections.abc import Mapping

from yarrowwall.budgets.budget_requests import Reservation
from yarrowwall.budgets.stream_keys import claimed_attempt
from yarrowwall.messages.replicated import NO_NOTE
from yarrowwall.policy.budget_parts import ClaimState
from yarrowwall.replication.exceptions import NoQuorumError
from yarrowwall.replication.quorum_client import QuorumClient
from yarrowwall.replication.rounds import Amount

#: Timeout in seconds of one read. An answer takes milliseconds, and a caller waits.
TIMEOUT_SECONDS = 0.25


def open_claim_value(request: str) -> bytes:
    """Return the value of the record of a claim until it is settled.

    :param request: identity of the request that the turn answers.
    """
    return NO_NOTE + request.encode()


class OpenTries:
    """The other tries of one turn, as its reservation found them.

    :param client: reads the claims again.
    """

    def __init__(self, client: QuorumClient, reservation: Reservation) -> None:
        self._client = client
        self._claim = reservation.claim
        #: Keys of the claims that are not known to be settled, or to be of another request.
        self._open_by_group = {
            group: self._open_keys(amounts)
            for group, amounts in reservation.others_by_group.items()
        }
        #: Keys of claims that are known to be of the same request.
        self._confirmed: set[str] = set()

    def attempts(self) -> set[str]:
        """Return the ids of the attempts whose claims may still be open."""
        for group, keys in self._open_by_group.items():
            if keys:
                # Without an answer, the claims count as they were known last: another send could
                # end one server too many.
                with contextlib.suppress(NoQuorumError):
                    self._read_again(group, keys)
        open_keys = set().union(*self._open_by_group.values())
        attempts = {claimed_attempt(key, self._claim.program_id) for key in open_keys}
        return {attempt for attempt in attempts if attempt is not None}

    def _read_again(self, group: int, keys: set[str]) -> None:
        """Remove keys of claims that are settled or of another request.

        :raises NoQuorumError: if the group does not answer in time.
        """
        owner = self._claim.program_id
        reading = self._client.read_amounts(group, owner, timeout=TIMEOUT_SECONDS)
        keys &= self._open_keys(reading.amounts)
        for key in keys - self._confirmed:
            record = self._client.read_chain(group, key, [], timeout=TIMEOUT_SECONDS).get(key)
            if record is not None and record.value == open_claim_value(self._claim.request):
                self._confirmed.add(key)
            else:
                keys.remove(key)

    def _open_keys(self, amounts: Mapping[str, Amount]) -> set[str]:
        """Return the keys of other attempts' claims that are not settled."""
        return {
            key
            for key, amount in amounts.items()
            if amount.version < ClaimState.SETTLED
            and claimed_attempt(key, self._claim.program_id) not in (None, self._claim.attempt_id)
        }
