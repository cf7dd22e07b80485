"""The other machines with disks as a replica knows them: registrations, liveness and status."""

import math
from collections.abc import Callable, Mapping, Sequence

import eventlet

from yarrowwall.messages.replicated import (
    AskStatus,
    AskStatuses,
    Member,
    StatusesReply,
    StatusReply,
)
from yarrowwall.replication.rpc import LinkTable
from yarrowwall.replication.views import ViewConfirmation

#: Seconds between two status requests to a machine.
HEARTBEAT_SECONDS = 0.4
#: The same right after the start, when other machines may be starting too and callers wait, and
#: the seconds for which it applies.
FIRST_HEARTBEAT_SECONDS = 0.1
START_SECONDS = 2.0
#: Seconds of silence after which a machine counts as down.
DOWN_SECONDS = 1.6
#: Seconds of silence after which it counts as absent: it may have been taken away.
ABSENT_SECONDS = 4.0
#: Seconds between two rounds of requests after which this process has been delayed itself, so that
#: silence before does not count.
_DELAYED_SECONDS = 2.0 * HEARTBEAT_SECONDS


class ReplicaPeers:
    """Periodically asks every registered machine for its status.

    Machines of a zone that has its own group report both of their replicas to each other in one
    answer; machines of other zones do not need the status of the zone's group.

    :param node_id: this machine, which always counts as alive.
    :param zone: this machine's zone.
    :param now: the monotonic clock.
    :ivar registered: the machines with their disks for a common group, by node id.
    :ivar zone_disks: the machines with their disks for their zones' groups, by node id.
    :ivar has_zone_group: whether this zone has a group of its own.
    """

    def __init__(self, node_id: str, zone: str, links: LinkTable, now: Callable[[], float]) -> None:
        self._node_id = node_id
        self._zone = zone
        self._links = links
        self._now = now
        self.registered: dict[str, Member] = {}
        self.zone_disks: dict[str, Member] = {}
        self.has_zone_group = False
        self._statuses: dict[str, StatusReply] = {}
        self._answered_at: dict[str, float] = {}
        self._confirmations: dict[str, ViewConfirmation] = {}
        self._asking_since = now()

    def start(self) -> None:
        """Start asking in the background."""
        eventlet.spawn_n(self._run)

    def _run(self) -> None:
        begun_at = asked_at = self._now()
        while True:
            if self._now() - asked_at > _DELAYED_SECONDS:
                self._asking_since = self._now()
            asked_at = self._now()
            for member in list(self.registered.values()):
                if member.node_id != self._node_id:
                    self._ask(member)
            is_start = self._now() - begun_at < START_SECONDS
            eventlet.sleep(FIRST_HEARTBEAT_SECONDS if is_start else HEARTBEAT_SECONDS)

    def _ask(self, member: Member) -> None:
        link = self._links.get(member.address)
        asked_at = self._now()
        wants_both = self.has_zone_group and member.zone == self._zone
        question = AskStatuses() if wants_both else AskStatus(0)
        number = link.post(question, lambda reply: self._handle_reply(member, asked_at, reply))
        eventlet.spawn_after(DOWN_SECONDS, link.forget, number, is_late=True)

    def _handle_reply(self, member: Member, asked_at: float, reply: object | None) -> None:
        if isinstance(reply, StatusesReply):
            self._handle_reply(member, asked_at, reply.common)
            self._handle_reply(member, asked_at, reply.zone)
            return
        # Another machine may have taken over the address of one that was removed.
        if isinstance(reply, StatusReply) and reply.node_id == member.node_id:
            self._statuses[reply.disk_id] = reply
            self._answered_at[member.node_id] = self._now()
            self._confirmations[reply.disk_id] = ViewConfirmation(reply.epoch, asked_at)

    def note_registration(self, node_id: str, common: Member, zone: Member | None) -> None:
        """Store a machine's newest registration.

        :param zone: the machine with its disk for its zone's own group; None if it has none.
        """
        self.registered[node_id] = common
        if zone is not None:
            self.zone_disks[node_id] = zone

    def forget_all(self) -> None:
        """Forget all registrations."""
        self.registered.clear()
        self.zone_disks.clear()

    def forget(self, node_id: str) -> None:
        """Forget the registration of a machine that was removed."""
        self.registered.pop(node_id, None)
        self.zone_disks.pop(node_id, None)

    def alive(self) -> set[str]:
        """Return the node ids of the machines that answered recently, including this one."""
        since = self._now() - DOWN_SECONDS
        answered = {node for node, answered_at in self._answered_at.items() if answered_at >= since}
        return answered | {self._node_id}

    def leaving(self) -> set[str]:
        """Return the node ids of machines whose processes are about to end."""
        alive = self.alive()
        return {
            node
            for node, member in self.registered.items()
            if node in alive
            and member.disk_id in self._statuses
            and self._statuses[member.disk_id].is_leaving
        }

    def absent(self) -> set[str]:
        """Return the node ids of registered machines that have not answered for long."""
        now = self._now()
        if now - self._asking_since < ABSENT_SECONDS:
            return set()
        return {
            node
            for node in self.registered
            if node != self._node_id
            and now - self._answered_at.get(node, self._asking_since) >= ABSENT_SECONDS
        }

    def confirmations(self) -> Mapping[str, ViewConfirmation]:
        """Return the newest confirmation of each replica by disk."""
        return self._confirmations

    def disks_confirmed_since(self, since_s: float) -> dict[str, str]:
        """Return by node id the registered disks that answered a request sent at or after a time.

        :param since_s: that time, on the monotonic clock.
        """
        asked = {disk: one.asked_at_s for disk, one in self._confirmations.items()}
        return {
            node: member.disk_id
            for node, member in self.registered.items()
            if asked.get(member.disk_id, -math.inf) >= since_s
        }

    def disks_of(self, zone: str) -> dict[str, Member]:
        """Return the machines of a zone with their disks for the zone's group, by node id."""
        return {node: member for node, member in self.zone_disks.items() if member.zone == zone}

    def statuses(self, own: Sequence[StatusReply]) -> dict[str, StatusReply]:
        """Return the newest status of each disk whose machine is alive.

        :param own: the status of each of this machine's replicas.
        """
        alive = self.alive()
        found = {disk: status for disk, status in self._statuses.items() if status.node_id in alive}
        found.update({status.disk_id: status for status in own})
        return found
