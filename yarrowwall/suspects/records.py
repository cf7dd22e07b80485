"""Suspects in the record store, from which a gateway that starts learns them.

They outlive a loss of power of all machines, which the boards on the replicas do not.
"""

from collections.abc import Callable, Iterable

from yarrowwall.messages.replicated import StoredRecord
from yarrowwall.messages.suspects import Suspect
from yarrowwall.replication.group_views import REPORT_GROUP
from yarrowwall.replication.quorum_client import QuorumClient

#: Timeouts in seconds. A caller waits for a write.
READ_TIMEOUT_SECONDS = 0.25
WRITE_TIMEOUT_SECONDS = 0.1
#: Seconds of the wall clock whose suspects have one owner, so that old ones can be dropped. Those
#: of the current and the previous period are read.
PERIOD_SECONDS = 240
_OWNER_PREFIX = "suspects/"


class SuspectRecords:
    """Writes and reads the ended servers of requests.

    :param unix_s: returns the Unix time in seconds.
    """

    def __init__(self, client: QuorumClient, unix_s: Callable[[], float]) -> None:
        self._client = client
        self._unix_s = unix_s

    def write(self, suspects: Iterable[Suspect]) -> None:
        """Store suspects.

        :raises NoQuorumError: if no quorum stores them in time.
        """
        owner = self._owner(0)
        records = [
            StoredRecord(
                f"{owner}/{suspect.request}/{server}", 1, owner, "", 2.0 * PERIOD_SECONDS, 0, b""
            )
            for suspect in suspects
            for server in suspect.ended
        ]
        self._client.write(REPORT_GROUP, records, timeout=WRITE_TIMEOUT_SECONDS)

    def read(self, left_s: float) -> list[Suspect]:
        """Return the suspects of the last minutes.

        :param left_s: seconds for which they are to be remembered.
        :raises NoQuorumError: if no quorum answers in time.
        """
        found: list[Suspect] = []
        for periods_ago in (0, 1):
            owner = self._owner(periods_ago)
            reading = self._client.read_amounts(REPORT_GROUP, owner, timeout=READ_TIMEOUT_SECONDS)
            for key in reading.amounts:
                request, _, server = key.removeprefix(f"{owner}/").partition("/")
                found.append(Suspect(request, [server], left_s))
        return found

    def _owner(self, periods_ago: int) -> str:
        return f"{_OWNER_PREFIX}{int(self._unix_s()) // PERIOD_SECONDS - periods_ago}"
