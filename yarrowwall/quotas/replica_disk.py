"""A replica of a common group with its log on disk, which also holds its issued permits."""

import time
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

from yarrowwall.clocks import Clock, read_clock
from yarrowwall.decisions import DecisionLog
from yarrowwall.messages.quotas import LendingBegun, QuotaLent
from yarrowwall.messages.replicated import ViewKept
from yarrowwall.policy.record_room import RecordRoom
from yarrowwall.quotas.issuer_lease import IssuerLease
from yarrowwall.quotas.permit_issuer import PermitIssuer
from yarrowwall.quotas.quota_rules import QuotaRules
from yarrowwall.replication.disk import DiskRecord, RecordDisk
from yarrowwall.replication.replica import LogRecord


class QuotaSettings(NamedTuple):
    """How limits are measured, and among how many issuers each is divided."""

    rules: QuotaRules
    issuers: int


class ReplicaDisk(RecordDisk):
    """A replica of a common group that also issues permits, with its log on disk.

    :ivar issuer: Issues its share of tenants' limits.
    :ivar lease: Decides whether it may issue.
    """

    def __init__(
        self,
        node_id: str,
        folder: Path,
        quotas: QuotaSettings,
        log: DecisionLog,
        room: RecordRoom | None = None,
    ) -> None:
        self._quotas = quotas
        super().__init__(node_id, folder, log, room)

    def _restore_other_records(
        self, disk_id: str, records: Iterator[DiskRecord], clock: Clock
    ) -> Iterator[LogRecord]:
        self.lease = IssuerLease(disk_id, self._quotas.rules.counted_s)
        self.issuer = PermitIssuer(self._quotas.rules, self._quotas.issuers, self.lease.rank)
        return self._restore_quotas(records, clock)

    def _restore_quotas(self, records: Iterator[DiskRecord], clock: Clock) -> Iterator[LogRecord]:
        """Restore permits and the lease; yield the records of the replica itself."""
        for record in records:
            if isinstance(record, QuotaLent):
                self.issuer.restore(record, clock)
                continue
            if isinstance(record, LendingBegun):
                self.lease.restore_begun(clock.steady_s)
                continue
            if isinstance(record, ViewKept):
                self.lease.install_view(record.view, clock.steady_s)
            yield record

    def _snapshot(self) -> list[DiskRecord]:
        found = super()._snapshot()
        if self.lease.has_begun:
            found.append(LendingBegun(self.replica.epoch))
        return found + list(self.issuer.snapshot(read_clock()))

    def _mark_durable(self, record: DiskRecord) -> None:
        super()._mark_durable(record)
        if isinstance(record, ViewKept):
            self.lease.install_view(record.view, time.monotonic())
