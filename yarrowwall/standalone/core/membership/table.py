"""Member table and gossip.

Within a zone every node knows every other node. Of other zones a node knows only
a few contacts each, so that its table does not grow with the whole fleet.
A member counts as dead if its heartbeat has not risen for some time on the
observer's own clock; clocks of different nodes are never compared.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from yarrowwall.hashing import first, rank
from yarrowwall.messages.peers import MemberRecord, MemberStatus
from yarrowwall.standalone.core.identifiers import home_zone

#: Number of peers in the own zone that get gossip in one round.
GOSSIP_FANOUT = 2
#: Number of nodes of a zone that other zones know.
CONTACTS_PER_ZONE = 3
#: Number of other zones whose contacts a gossip message within a zone contains.
ZONES_PER_ROUND = 4
#: Number of rounds between attempts to reach a silent member.
ROUNDS_PER_SILENT_PROBE = 4
#: Factor on the timeout for contacts of other zones, since their heartbeats take
#: more hops.
REMOTE_TIMEOUT_FACTOR = 3.0


@dataclass
class _Member:
    record: MemberRecord
    heard_at: float


class MemberTable:
    """All members that this node knows.

    :param own: this node's record.
    :param seeds: nodes named by the settings; they count as live at first.
    :param dead_after: seconds without a new heartbeat after which a member counts as dead.
    """

    def __init__(
        self, own: MemberRecord, seeds: Iterable[MemberRecord], dead_after: float, now: float
    ) -> None:
        self._own = own
        self._dead_after = dead_after
        self._members: dict[str, _Member] = {
            seed.node_id: _Member(seed, now) for seed in seeds if seed.node_id != own.node_id
        }
        self._round = 0

    @property
    def own(self) -> MemberRecord:
        """This node's record."""
        return self._own

    def set_status(self, status: MemberStatus) -> None:
        """Set this node's status, which gossip announces."""
        self._own = replace(self._own, status=status)

    def begin_round(self) -> None:
        """Start a gossip round: increment this node's heartbeat."""
        self._round += 1
        self._own = replace(self._own, heartbeat=self._own.heartbeat + 1)

    def merge(self, records: Iterable[MemberRecord], now: float) -> None:
        """Merge the records of another node that are newer than the known ones."""
        for record in records:
            if record.node_id == self._own.node_id:
                continue
            known = self._members.get(record.node_id)
            if known is None or self._is_newer(record, known.record):
                self._members[record.node_id] = _Member(record, now)

    @staticmethod
    def _is_newer(record: MemberRecord, known: MemberRecord) -> bool:
        return (record.incarnation, record.heartbeat) > (known.incarnation, known.heartbeat)

    def _is_alive(self, member: _Member, now: float) -> bool:
        timeout = self._dead_after
        if member.record.zone != self._own.zone:
            timeout *= REMOTE_TIMEOUT_FACTOR
        return now - member.heard_at < timeout

    def forget_dead(self, now: float) -> None:
        """Drop members that have been dead for long; seeds never heard from stay."""
        limit = 100 * self._dead_after
        for node_id, member in list(self._members.items()):
            if now - member.heard_at > limit and member.record.incarnation > 0:
                del self._members[node_id]

    def live(self, zone: str, now: float) -> list[str]:
        """Return the nodes of a zone that may own programs: alive and not leaving."""
        names = [
            node_id
            for node_id, member in self._members.items()
            if member.record.zone == zone
            and member.record.status is MemberStatus.LIVE
            and self._is_alive(member, now)
        ]
        if self._own.zone == zone and self._own.status is MemberStatus.LIVE:
            names.append(self._own.node_id)
        return names

    def zones(self) -> list[str]:
        """Return all known zones, sorted."""
        zones = {member.record.zone for member in self._members.values()}
        return sorted(zones | {self._own.zone})

    def owner_of(self, program_id: str, now: float) -> str | None:
        """Return the node that owns a program according to this node's table.

        The owner is a live node of the home zone; if there is none, of the first
        other zone in rendezvous order that has one.
        """
        home = home_zone(program_id)
        others = [zone for zone in rank(program_id, self.zones()) if zone != home]
        for zone in [home, *others]:
            owner = first(program_id, self.live(zone, now))
            if owner is not None:
                return owner
        return None

    def address_of(self, node_id: str) -> str | None:
        """Return a node's address, ``IP:port``."""
        if node_id == self._own.node_id:
            return self._own.address
        member = self._members.get(node_id)
        return member.record.address if member else None

    def records(self) -> list[MemberRecord]:
        """Return all known records, this node's first."""
        return [self._own, *(member.record for member in self._members.values())]

    def contacts(self, zone: str, now: float) -> list[str]:
        """Return the nodes of a zone that exchange gossip with other zones."""
        return rank(f"contact/{zone}", self.live(zone, now))[:CONTACTS_PER_ZONE]

    def gossip_targets(self, now: float) -> list[str]:
        """Return the peers that get gossip in this round.

        Most are in this zone; a contact also sends to a contact of another zone.
        Every few rounds a silent member is included, so that both sides of a
        network partition find each other after it has healed.
        """
        salt = f"{self._own.node_id}/{self._round}"
        local_peers = [name for name in self.live(self._own.zone, now) if name != self._own.node_id]
        targets = rank(salt, local_peers)[:GOSSIP_FANOUT]
        if self._own.node_id in self.contacts(self._own.zone, now):
            targets += rank(salt, self._remote_contacts(now))[:1]
        if self._round % ROUNDS_PER_SILENT_PROBE == 0:
            silent = [
                name for name, member in self._members.items() if self._is_silent(member, now)
            ]
            targets += rank(salt, silent)[:1]
        return targets

    def _remote_contacts(self, now: float) -> list[str]:
        zones = [zone for zone in self.zones() if zone != self._own.zone]
        return [name for zone in zones for name in self.contacts(zone, now)]

    def _is_silent(self, member: _Member, now: float) -> bool:
        return not self._is_alive(member, now)

    def records_for(self, zone: str, now: float) -> list[MemberRecord]:
        """Return the records for a gossip message to a zone, which are those of live members.

        A message within the zone contains all of its members and the contacts of
        some other zones, which vary by round. A message to another zone contains
        this node and the contacts of its zone.
        """
        names = {self._own.node_id, *self.contacts(self._own.zone, now)}
        if zone == self._own.zone:
            names.update(self._alive_names(zone, now))
            others = [other for other in self.zones() if other != zone]
            for other in rank(f"{self._own.node_id}/{self._round}", others)[:ZONES_PER_ROUND]:
                names.update(self.contacts(other, now))
        return [record for record in self.records() if record.node_id in names]

    def _alive_names(self, zone: str, now: float) -> list[str]:
        """Return the zone's members that are alive, including those that are leaving."""
        return [
            node_id
            for node_id, member in self._members.items()
            if member.record.zone == zone and self._is_alive(member, now)
        ]

    def zone_of(self, node_id: str) -> str:
        """Return a member's zone; empty if unknown."""
        if node_id == self._own.node_id:
            return self._own.zone
        member = self._members.get(node_id)
        return member.record.zone if member else ""
