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
TIMEOUT_SECONDS = 0.1


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
        self._open_by_group = {
            group: self._open_keys(amounts)
            for group, amounts in reservation.others_by_group.items()
        }

    def attempts(self) -> set[str]:
        """Return the ids of the attempts whose claims are still open."""
        found: set[str] = set()
        for group, keys in self._open_by_group.items():
            if not keys:
                continue
            # Without an answer, the claims of this group are taken for settled: a request goes on
            # unless it is known that it may not.
            with contextlib.suppress(NoQuorumError):
                found |= self._read(group, keys)
        return found

    def _read(self, group: int, keys: set[str]) -> set[str]:
        """Return the attempts of one group.

        :raises NoQuorumError: if the group does not answer in time.
        """
        owner = self._claim.program_id
        reading = self._client.read_amounts(group, owner, timeout=TIMEOUT_SECONDS)
        keys &= self._open_keys(reading.amounts)
        for key in list(keys):
            record = self._client.read_chain(group, key, [], timeout=TIMEOUT_SECONDS).get(key)
            if record is None or record.value != open_claim_value(self._claim.request):
                keys.remove(key)
        attempts = {claimed_attempt(key, owner) for key in keys}
        return {attempt for attempt in attempts if attempt is not None}

    def _open_keys(self, amounts: Mapping[str, Amount]) -> set[str]:
        """Return the keys of other attempts' claims that are not settled."""
        return {
            key
            for key, amount in amounts.items()
            if amount.version < ClaimState.SETTLED
            and claimed_attempt(key, self._claim.program_id) not in (None, self._claim.attempt_id)
        }
