"""Copies a group's complete records to a replica that joins or has missed a change."""

from collections.abc import Callable, Mapping

import eventlet

from yarrowwall import decisions
from yarrowwall.decisions import DecisionLog
from yarrowwall.messages.replicated import (
    FetchRecords,
    GroupView,
    InstallView,
    KeysReply,
    ListKeys,
    Member,
    RecordsReply,
    ReplyStatus,
)
from yarrowwall.replication.disk import RecordDisk
from yarrowwall.replication.exceptions import LinkDownError
from yarrowwall.replication.rpc import LinkTable
from yarrowwall.replication.views import has_read_quorum

#: Seconds before a failed copy is retried.
RETRY_SECONDS = 0.2
#: Timeout of a request in seconds.
REPLY_TIMEOUT_SECONDS = 1.0
#: Records fetched with one request.
PAGE_RECORDS = 200


class Synchroniser:
    """Keeps this machine's replica synchronised with its group.

    :param now: the clock for the expiry of copied records.
    :param check_interval_s: seconds between two checks whether a copy is needed; see also
        :meth:`check_now`.
    """

    def __init__(
        self,
        disk: RecordDisk,
        links: LinkTable,
        log: DecisionLog,
        now: Callable[[], float],
        check_interval_s: float = RETRY_SECONDS,
    ) -> None:
        self._disk = disk
        self._replica = disk.replica
        self._links = links
        self._log = log
        self._now = now
        self._check_interval_s = check_interval_s
        self._wakeup = eventlet.event.Event()

    def start(self) -> None:
        """Start checking in the background."""
        eventlet.spawn_n(self._run)

    def check_now(self) -> None:
        """Check at once whether a copy is needed."""
        if not self._wakeup.ready():
            self._wakeup.send()

    def _run(self) -> None:
        while True:
            view = self._replica.view
            if view is None or not self._replica.needs_synchronisation:
                self._wakeup.wait(self._check_interval_s)
                if self._wakeup.ready():
                    self._wakeup = eventlet.event.Event()
                continue
            if not self._synchronise(view):
                eventlet.sleep(RETRY_SECONDS)

    def _synchronise(self, view: GroupView) -> bool:
        """Copy from a read quorum of the members; return whether the copy was finished."""
        copied_disks = {self._replica.disk_id} if self._replica.counts_for_reads else set()
        copied = 0
        for member in view.members:
            if has_read_quorum(view, copied_disks):
                break
            if member.disk_id in copied_disks or member.disk_id == self._replica.disk_id:
                continue
            count = self._copy_from(view, member)
            if count is not None:
                copied_disks.add(member.disk_id)
                copied += count
        return has_read_quorum(view, copied_disks) and self._finish(view, copied)

    def _copy_from(self, view: GroupView, member: Member) -> int | None:
        """Copy the records of one member that are missing here; return their number.

        None if the member does not answer, does not count for reads or knows another view, or
        if the disk failed.
        """
        link = self._links.get(member.address)
        try:
            link.call(InstallView(view), REPLY_TIMEOUT_SECONDS)
            listed = link.call(
                ListKeys(view.group, view.epoch, member.disk_id), REPLY_TIMEOUT_SECONDS
            )
            if not isinstance(listed, KeysReply) or listed.status is not ReplyStatus.OK:
                return None
            if not listed.is_reader:
                return None
            # An earlier release does not tell for how long it keeps its records.
            left_s = dict(zip(listed.keys, listed.left_s, strict=bool(listed.left_s)))
            missing = self._replica.missing(listed.keys, listed.versions)
            for start in range(0, len(missing), PAGE_RECORDS):
                keys = missing[start : start + PAGE_RECORDS]
                request = FetchRecords(view.group, view.epoch, member.disk_id, keys)
                fetched = link.call(request, REPLY_TIMEOUT_SECONDS)
                if not isinstance(fetched, RecordsReply) or fetched.status is not ReplyStatus.OK:
                    return None
                if not self._persist(fetched, left_s):
                    return None
        except LinkDownError:
            return None
        self._replica.extend_lifetimes(left_s, self._now())
        return len(missing)

    def _persist(self, fetched: RecordsReply, left_s: Mapping[str, float]) -> bool:
        """Write copied records to disk; return whether that succeeded."""
        written = eventlet.event.Event()
        self._disk.persist(
            self._replica.store_copied(fetched.records, left_s, self._now()),
            lambda: written.send(True),
            lambda: written.send(False),
        )
        return bool(written.wait())

    def _finish(self, view: GroupView, copied: int) -> bool:
        mark = self._replica.synchronisation_mark(view)
        if mark is None:
            return False
        written = eventlet.event.Event()
        self._disk.persist([mark], lambda: written.send(True), lambda: written.send(False))
        if not written.wait():
            return False
        self._log.write(decisions.ReplicaSynchronised(view.group, view.epoch, copied))
        return True
