"""Records of the software that runs a stream, by which any gateway resumes it at that software."""

from collections.abc import Iterable, Mapping, Sequence

from yarrowwall import decisions
from yarrowwall.budgets.budget_requests import Reservation
from yarrowwall.budgets.record_groups import RecordGroups
from yarrowwall.budgets.record_names import RecordName, record_name
from yarrowwall.budgets.stream_keys import (
    change_key,
    common_software,
    recorded_software,
    stream_owner,
)
from yarrowwall.decisions import StreamOrigin
from yarrowwall.exceptions import StoreUncertainError, StreamUnknownError
from yarrowwall.messages.replicated import StoredRecord
from yarrowwall.model import Attempt
from yarrowwall.policy.budget_parts import ClaimState
from yarrowwall.ports.programs import ExpectedSoftware
from yarrowwall.replication.exceptions import NoQuorumError

#: Timeout in seconds of one read or write. An answer takes milliseconds, and a caller waits.
TIMEOUT_SECONDS = 0.25
#: The longest that a record is kept for a caller that states a longer deadline, in seconds.
MAX_RETENTION_SECONDS = 3600.0


def stream_retention_s(attempt: Attempt) -> float:
    """Return the seconds for which a stream's caller may resume it: until its deadline."""
    return min(max(attempt.deadline - attempt.arrived_at, 0.0), MAX_RETENTION_SECONDS)


class StreamRecords:
    """Writes a record of each stream that begins, and reads it when its caller resumes it."""

    def __init__(self, groups: RecordGroups) -> None:
        self._client = groups.client
        self._group_of = groups.group_of
        self._zones = groups.zones
        self._reachability = groups.reachability
        self._log = groups.log

    def write(self, groups: Iterable[int], record: StoredRecord) -> None:
        """Write a record to each of the groups.

        :raises NoQuorumError: if one of them does not answer in time.
        """
        for group in groups:
            if self._reachability.is_unreachable(group):
                raise NoQuorumError(f"group {group} is out of reach")
            self._client.write(group, [record], timeout=TIMEOUT_SECONDS)

    def begin(
        self, attempt: Attempt, reservation: Reservation | None, likely: str
    ) -> "StreamRecord | None":
        """Return the record of a stream that begins.

        None without a budget and a known group: such a stream needs no replicas, but its caller
        cannot resume it.

        :param likely: the software that the reservation names.
        """
        retention_s = stream_retention_s(attempt)
        if reservation is not None:
            owner, groups = reservation.claim.program_id, reservation.claimed_groups
            return StreamRecord(self, owner, attempt.attempt_id, groups, likely, retention_s)
        owner = stream_owner(record_name(attempt.tenant, attempt.attempt_id))
        try:
            group = self._group_of(owner)
        except StoreUncertainError as error:
            self.log_unrecorded(attempt.attempt_id, error)
            return None
        return StreamRecord(self, owner, attempt.attempt_id, [group], "", retention_s)

    def resumed_software(
        self, attempt: Attempt, reservation: Reservation | None, expected: ExpectedSoftware
    ) -> str:
        """Return the software that began the stream that an attempt resumes.

        :param expected: what the gateway knows, used if nothing is recorded.
        :raises StreamUnknownError: if nothing is recorded and several could have begun it.
        :raises StoreUncertainError: if not all groups that may have a record answered.
        """
        if reservation is not None:
            owner, known = reservation.claim.program_id, reservation.others_by_group
        else:
            resumed = record_name(attempt.tenant, attempt.resumed_attempt or "")
            owner, known = stream_owner(resumed), {}
        software, unanswered = self._find(
            attempt.resumed_attempt, owner, self._group_of(owner), known
        )
        if software is None and unanswered:
            self._log_origin(attempt, StreamOrigin.UNCERTAIN, "")
            groups = ", ".join(str(group) for group in unanswered)
            raise StoreUncertainError(f"out of reach: {groups}")
        if software is not None:
            self._log_origin(attempt, StreamOrigin.RECORDED, software)
            return software
        return self._sole_software(attempt, expected)

    def _sole_software(self, attempt: Attempt, expected: ExpectedSoftware) -> str:
        """Return the only software that could have begun a stream of which nothing is recorded."""
        try:
            sole = expected.find_sole()
        except StoreUncertainError:
            self._log_origin(attempt, StreamOrigin.UNCERTAIN, "")
            raise
        if sole is None:
            self._log_origin(attempt, StreamOrigin.UNKNOWN, "")
            raise StreamUnknownError("no record tells the software version of the stream")
        self._log_origin(attempt, StreamOrigin.SOLE, sole)
        return sole

    def _find(
        self,
        attempt_id: str | None,
        owner: RecordName,
        common_group: int,
        known: Mapping[int, Iterable[str]],
    ) -> tuple[str | None, list[int]]:
        """Return the recorded software, or None and the groups that did not answer.

        :param known: keys of the owner's records in the groups that were read already.
        :param attempt_id: the attempt that brought the first event; if the caller names none, it is
            one of the owner's.
        """
        unanswered: list[int] = []
        all_keys: list[str] = []
        for group in self._zones.common_first(common_group):
            keys = known.get(group)
            if keys is None:
                keys = self._read(group, owner)
            if keys is None:
                unanswered.append(group)
                continue
            if attempt_id is None:
                all_keys += keys
                continue
            software = recorded_software(keys, owner, attempt_id)
            if software is not None:
                return software, unanswered
        if attempt_id is None and not unanswered:
            return common_software(all_keys, owner), unanswered
        return None, unanswered

    def _read(self, group: int, owner: RecordName) -> Iterable[str] | None:
        """Return the keys of an owner's records in a group; None without its answer."""
        if self._reachability.is_unreachable(group):
            return None
        try:
            return self._client.read_amounts(
                group, owner, timeout=TIMEOUT_SECONDS, proves_absence=True
            ).amounts
        except NoQuorumError:
            # The attempt is refused as uncertain, which is logged.
            return None

    def log_unrecorded(self, attempt_id: str, error: Exception) -> None:
        """Log that a stream runs unrecorded, so that its caller cannot resume it."""
        self._log.write(decisions.StreamUnrecorded(attempt_id, str(error)))

    def _log_origin(self, attempt: Attempt, origin: StreamOrigin, software: str) -> None:
        self._log.write(
            decisions.StreamOriginFound(
                attempt.attempt_id, attempt.resumed_attempt or "", origin.value, software
            )
        )


class StreamRecord:
    """The software recorded for one stream that a gateway begins.

    :param owner: the owner of the stream's records.
    :param attempt_id: the attempt that begins it.
    :param groups: the groups that have, or may have, a record of the stream.
    :param software: the software that is recorded already; empty for none.
    :param retention_s: seconds for which records are kept.
    """

    def __init__(
        self,
        records: StreamRecords,
        owner: RecordName,
        attempt_id: str,
        groups: Sequence[int],
        software: str,
        retention_s: float,
    ) -> None:
        self._records = records
        self._owner = owner
        self._attempt_id = attempt_id
        self._groups = groups
        self._retention_s = retention_s
        self._number = 0
        #: What the newest record may name: several after a write without an answer.
        self._possible = {software} if software else set()

    def ensure(self, software: str) -> None:
        """Ensure that the newest record, if there is any, names the software.

        A stream without any record can be run, but not resumed by its caller.

        :raises StoreUncertainError: if it may name another one.
        """
        if self._possible == {software}:
            return
        self._number += 1
        key = change_key(self._owner, self._attempt_id, self._number, software)
        record = StoredRecord(key, ClaimState.SETTLED, self._owner, "", self._retention_s, 0, b"")
        try:
            self._records.write(self._groups, record)
        except NoQuorumError as error:
            self._possible.add(software)
            if len(self._possible) > 1:
                raise StoreUncertainError(f"software not recorded: {error}") from error
            self._records.log_unrecorded(self._attempt_id, error)
            return
        self._possible = {software}
