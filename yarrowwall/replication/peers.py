"""What a replica knows of the other machines with disks: registrations and who is alive."""

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

#: Seconds between questions, and how long an answer may take.
HEARTBEAT_SECONDS = 0.4
#: The same right after the start, when others may be starting too and callers wait, and the
#: seconds for which that holds.
FIRST_HEARTBEAT_SECONDS = 0.1
START_SECONDS = 2.0
#: Seconds of silence after which a machine counts as down.
DOWN_SECONDS = 1.6


class ReplicaPeers:
    """Asks every registered machine for its state again and again.

    Machines of a zone with a group of its own tell one another of both replicas in one answer;
    nobody needs to know elsewhere.

    :param node_id: the own machine, which is always alive.
    :ivar registered: the machines with their disks for a common group, by node id.
    :ivar zone_disks: the machines with their disks for their zones' groups, by node id.
    :ivar has_zone_group: whether the own zone has a group.
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
        self._heard_at: dict[str, float] = {}
        self._confirmations: dict[str, ViewConfirmation] = {}

    def start(self) -> None:
        """Begin to ask."""
        eventlet.spawn_n(self._run)

    def _run(self) -> None:
        begun_at = self._now()
        while True:
            for member in list(self.registered.values()):
                if member.node_id != self._node_id:
                    self._ask(member)
            is_start = self._now() - begun_at < START_SECONDS
            eventlet.sleep(FIRST_HEARTBEAT_SECONDS if is_start else HEARTBEAT_SECONDS)

    def _ask(self, member: Member) -> None:
        link = self._links.get(member.address)
        asked_at = self._now()
        asks_both = self.has_zone_group and member.zone == self._zone
        question = AskStatuses() if asks_both else AskStatus(0)
        number = link.post(question, lambda reply: self._heard(member, asked_at, reply))
        eventlet.spawn_after(DOWN_SECONDS, link.forget, number, is_late=True)

    def _heard(self, member: Member, asked_at: float, reply: object | None) -> None:
        if isinstance(reply, StatusesReply):
            self._heard(member, asked_at, reply.common)
            self._heard(member, asked_at, reply.zone)
            return
        # The address of a machine that is gone may belong to another one by now.
        if isinstance(reply, StatusReply) and reply.node_id == member.node_id:
            self._statuses[reply.disk_id] = reply
            self._heard_at[member.node_id] = self._now()
            self._confirmations[reply.disk_id] = ViewConfirmation(reply.epoch, asked_at)

    def note_registration(self, node_id: str, common: Member, zone: Member | None) -> None:
        """Take in a machine's newest registration."""
        self.registered[node_id] = common
        if zone is not None:
            self.zone_disks[node_id] = zone

    def forget_all(self) -> None:
        """Forget all registrations."""
        self.registered.clear()
        self.zone_disks.clear()

    def forget(self, node_id: str) -> None:
        """Forget the registration of a machine that is gone."""
        self.registered.pop(node_id, None)
        self.zone_disks.pop(node_id, None)

    def alive(self) -> set[str]:
        """Return the machines that answered lately, the own one among them."""
        since = self._now() - DOWN_SECONDS
        heard = {node for node, heard_at in self._heard_at.items() if heard_at >= since}
        return heard | {self._node_id}

    def confirmations(self) -> Mapping[str, ViewConfirmation]:
        """Return what each disk's replica said last, and when it was asked."""
        return self._confirmations

    def disks_since(self, since_s: float) -> dict[str, str]:
        """Return the registered disks that answered a question sent since then, by node id."""
        asked = {
            disk: confirmation.asked_at_s for disk, confirmation in self._confirmations.items()
        }
        return {
            node: member.disk_id
            for node, member in self.registered.items()
            if asked.get(member.disk_id, -math.inf) >= since_s
        }

    def disks_of(self, zone: str) -> dict[str, Member]:
        """Return the machines of a zone with their disks for its group, by node id."""
        return {node: member for node, member in self.zone_disks.items() if member.zone == zone}

    def statuses(self, own: Sequence[StatusReply]) -> dict[str, StatusReply]:
        """Return the newest state of each disk whose machine is alive.

        :param own: the states of the own disks.
        """
        alive = self.alive()
        found = {disk: status for disk, status in self._statuses.items() if status.node_id in alive}
        found.update({status.disk_id: status for status in own})
        return found
