"""Copying what a group has completed to a replica that joins or has missed a change."""

from collections.abc import Callable

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

#: Seconds before a copy that could not be finished is tried again.
RETRY_SECONDS = 0.2
#: Seconds that a machine may take to answer.
ANSWER_SECONDS = 1.0
#: Records fetched at once.
PAGE_RECORDS = 200


class Synchroniser:
    """Keeps the own replica's copy complete.

    :param look_s: seconds between looks whether a copy is needed when nobody asked for one.
    """

    def __init__(
        self,
        disk: RecordDisk,
        links: LinkTable,
        log: DecisionLog,
        now: Callable[[], float],
        look_s: float = RETRY_SECONDS,
    ) -> None:
        self._disk = disk
        self._replica = disk.replica
        self._links = links
        self._log = log
        self._now = now
        self._look_s = look_s
        self._wakeup = eventlet.event.Event()

    def start(self) -> None:
        """Begin to watch over the copy."""
        eventlet.spawn_n(self._run)

    def check_now(self) -> None:
        """Look at once whether a copy is needed."""
        if not self._wakeup.ready():
            self._wakeup.send()

    def _run(self) -> None:
        while True:
            view = self._replica.view
            if view is None or not self._replica.needs_synchronisation:
                self._wakeup.wait(self._look_s)
                if self._wakeup.ready():
                    self._wakeup = eventlet.event.Event()
                continue
            if not self._synchronise(view):
                eventlet.sleep(RETRY_SECONDS)

    def _synchronise(self, view: GroupView) -> bool:
        """Copy from so many members that they share one with every complete write."""
        readers = {self._replica.disk_id} if self._replica.counts_for_reads else set()
        copied = 0
        for member in view.members:
            if has_read_quorum(view, readers):
                break
            if member.disk_id in readers or member.disk_id == self._replica.disk_id:
                continue
            count = self._copy_from(view, member)
            if count is not None:
                readers.add(member.disk_id)
                copied += count
        return has_read_quorum(view, readers) and self._finish(view, copied)

    def _copy_from(self, view: GroupView, member: Member) -> int | None:
        """Copy what one member has; return how many records, None if it does not count."""
        link = self._links.get(member.address)
        try:
            link.call(InstallView(view), ANSWER_SECONDS)
            listed = link.call(ListKeys(view.group, view.epoch, member.disk_id), ANSWER_SECONDS)
            if not isinstance(listed, KeysReply) or listed.status is not ReplyStatus.OK:
                return None
            if not listed.is_reader:
                return None
            missing = self._replica.missing(listed.keys, listed.versions)
            for start in range(0, len(missing), PAGE_RECORDS):
                keys = missing[start : start + PAGE_RECORDS]
                request = FetchRecords(view.group, view.epoch, member.disk_id, keys)
                fetched = link.call(request, ANSWER_SECONDS)
                if not isinstance(fetched, RecordsReply) or fetched.status is not ReplyStatus.OK:
                    return None
                if not self._keep(fetched):
                    return None
        except LinkDownError:
            return None
        return len(missing)

    def _keep(self, fetched: RecordsReply) -> bool:
        """Write copied records to disk; return whether it took them."""
        written = eventlet.event.Event()
        self._disk.persist(
            self._replica.store_copied(fetched.records, self._now()),
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
