"""Drops a replica's records once no replica keeps them any longer.

A write reaches a quorum, so a replica may lack the writes that extend the lifetime of its records.
It drops an owner's records only after a read quorum of its group has confirmed that their lifetime
is over. The turns of a chain are spread over the common groups, so all of these are asked.
"""

from collections.abc import Callable

import eventlet

from yarrowwall import decisions
from yarrowwall.decisions import DecisionLog
from yarrowwall.replication.exceptions import NoQuorumError
from yarrowwall.replication.group_views import GroupViews
from yarrowwall.replication.quorum_client import QuorumClient
from yarrowwall.replication.replica import RecordReplica
from yarrowwall.replication.views import is_zone_group, member_of

#: Seconds between two checks for records whose lifetime is over.
EXPIRY_SECONDS = 5.0
#: Owners of one question.
BATCH_OWNERS = 1000
#: Seconds after which records are dropped although a group does not answer. Without a limit, the
#: outage of one group would fill the memory of the replicas of all others.
MAX_UNCONFIRMED_SECONDS = 600.0


class RecordExpiry:
    """Drops the expired records of one replica.

    :param now: the monotonic clock.
    """

    def __init__(
        self,
        replica: RecordReplica,
        client: QuorumClient,
        views: GroupViews,
        log: DecisionLog,
        now: Callable[[], float],
    ) -> None:
        self._replica = replica
        self._client = client
        self._views = views
        self._log = log
        self._now = now
        #: Groups that did not answer the last question.
        self._unanswered: set[int] = set()
        #: Those of them that were asked in the current check, and are not asked again in it.
        self._asked_in_vain: set[int] = set()

    def start(self) -> None:
        """Start checking in the background."""
        eventlet.spawn_n(self._run)

    def _run(self) -> None:
        while True:
            eventlet.sleep(EXPIRY_SECONDS)
            self.expire()

    def expire(self) -> None:
        """Drop all records whose lifetime is over, and extend those that others keep longer."""
        table = self._replica.table
        overdue = table.overdue(self._now())
        if not overdue:
            return
        self._asked_in_vain.clear()
        dropped = 0
        chains: list[str] = []
        others: list[str] = []
        for owner in overdue:
            (chains if table.is_chain(owner) else others).append(owner)
        for owners, groups in ((chains, self._chain_groups()), (others, self._own_group())):
            for start in range(0, len(owners), BATCH_OWNERS):
                dropped += self._expire_batch(owners[start : start + BATCH_OWNERS], groups)
        if dropped:
            self._log.write(decisions.RecordsDropped(self._group, dropped, len(table)))

    @property
    def _group(self) -> int:
        view = self._replica.view
        return view.group if view is not None else 0

    def _own_group(self) -> list[int]:
        """Return the replica's group; empty if it is no member, since its records are copied."""
        view = self._replica.view
        is_member = view is not None and member_of(view, self._replica.disk_id) is not None
        return [self._group] if is_member else []

    def _chain_groups(self) -> list[int]:
        """Return the groups that may have turns of the same chains.

        A zone's group has whole chains, so it extends none of another group.
        """
        own = self._own_group()
        if not own or is_zone_group(own[0]):
            return own
        return sorted({*own, *range(self._views.common_group_count)})

    def _expire_batch(self, owners: list[str], groups: list[int]) -> int:
        """Drop the records of owners that no group keeps longer; return the records' number."""
        table = self._replica.table
        is_confirmed = all([self._extend_from(group, owners) for group in groups])
        now = self._now()
        return table.drop(owners, now if is_confirmed else now - MAX_UNCONFIRMED_SECONDS)

    def _extend_from(self, group: int, owners: list[str]) -> bool:
        """Extend lifetimes to those in a group; return whether it answered."""
        if group in self._asked_in_vain:
            return False
        try:
            left_s = self._client.owners_left_s(group, owners)
        except NoQuorumError as error:
            self._asked_in_vain.add(group)
            if group not in self._unanswered:
                self._unanswered.add(group)
                self._log.write(decisions.ExpiryUnconfirmed(self._group, len(owners), str(error)))
            return False
        self._unanswered.discard(group)
        now = self._now()
        for owner, seconds in zip(owners, left_s, strict=True):
            if seconds > 0.0:
                self._replica.table.extend(owner, now + seconds)
        return True
