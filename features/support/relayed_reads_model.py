"""Gateways that are cut off from readers and store, on a virtual clock.

They read through neighbours with the product's forwarders, paths and followers. Only connections
are stand-ins; answers that pass through them may be late or duplicated.
"""

import random
from collections import Counter
from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import Any, NamedTuple
from unittest.mock import patch

import eventlet

from features.support.following_model import (
    FollowingWorld,
    Host,
    Links,
    PeerLink,
    connections_to,
)
from features.support.following_store import Outage
from features.support.virtual_time import now_s, run_virtually
from yarrowwall.messages.objects import ObjectsReply
from yarrowwall.messages.relaying import Neighbour
from yarrowwall.replication.forwarding import ForwardHandler
from yarrowwall.replication.neighbour_forwarder import NeighbourForwarder
from yarrowwall.replication.relayed_links import RelayedLinkTable
from yarrowwall.watching import replies
from yarrowwall.watching.store_client import StoreClient

#: Seconds without a cut before it and after it.
BEFORE_CUT_S = 6.0
SETTLE_S = 4.0
#: Seconds after a cut until no request that was sent in it is in flight.
IN_FLIGHT_S = 1.0
#: Seconds between two checks of the ages.
CHECK_S = 0.05
#: Maximum seconds after a cut until gateways must read directly again.
MAX_BACK_S = 20.0
#: Seconds after which a gateway that serves callers detects that it is cut off.
DETECTED_S = 0.2


class _DirectLink(PeerLink):
    """A link to a reader for forwarded requests."""

    def post_directly(self, request: Any, complete: Callable[[object | None], None]) -> int:
        return self.post(request, complete)

    def forget_direct(self, number: int) -> None:
        """Do nothing, since nothing is kept for a request."""


class _NeighbourLink(PeerLink):
    """A link to another gateway; its answers may be late or duplicated."""

    def _deliver(
        self,
        request: Any,
        complete: Callable[[object | None], None],
        incarnation: int,
        sender_incarnation: int,
    ) -> None:
        world = self._world
        assert isinstance(world, RelayedReadsWorld)
        world.asked[self._sender.node_id] += 1
        if not self._reader.is_up:
            return
        forwarder = world.forwarders[self._reader.node_id]
        world.max_in_flight = max(world.max_in_flight, forwarder.in_flight[0] + 1)

        def reply(found: object) -> None:
            for delay_s in world.delays_s():
                eventlet.spawn_after(
                    delay_s, self._return_reply, found, complete, incarnation, sender_incarnation
                )

        for _ in range(2 if world.rng.random() < world.duplicate_share else 1):
            forwarder.handle(request, reply)


class _NeighbourLinks(Links):
    def get(self, address: str) -> PeerLink:
        return _NeighbourLink(self._world, self._host, self._world.host_at(address))


class _Table(RelayedLinkTable):
    """The product's link table with stand-in links."""

    def __init__(self, world: "RelayedReadsWorld", host: Host) -> None:
        log: Any = host.lines
        super().__init__(host.node_id, log, now_s)
        self._world = world
        self._host = host
        self._neighbours: Any = _NeighbourLinks(world, host)

    def get(self, address: str) -> Any:
        return _DirectLink(self._world, self._host, self._world.host_at(address))


class RelayedReadsWorld(FollowingWorld):
    """Machines whose gateways forward requests for one another.

    :ivar asked: number of messages of each gateway to its neighbours.
    :ivar max_in_flight: the most requests that a gateway forwarded at once.
    """

    def __init__(self, rng: random.Random, gateways: int = 9) -> None:
        super().__init__(gateways)
        self.rng = rng
        self.tables: dict[str, _Table] = {}
        self.forwarders: dict[str, ForwardHandler] = {}
        self.stores: dict[str, StoreClient] = {}
        self.asked: Counter[str] = Counter()
        self.max_in_flight = 0
        self.late_share = 0.0
        self.duplicate_share = 0.0

    def delays_s(self) -> list[float]:
        """Return the delays after which a neighbour's answer arrives, once or twice."""
        count = 2 if self.rng.random() < self.duplicate_share else 1
        return [
            self.rng.uniform(0.1, 6.0) if self.rng.random() < self.late_share else 0.001
            for _ in range(count)
        ]

    def _connect(self, host: Host, store: StoreClient) -> None:
        if host in self.readers:
            return
        table = self.tables[host.node_id] = _Table(self, host)
        self.stores[host.node_id] = store
        self.forwarders[host.node_id] = ForwardHandler(table, store.has_reader_at)
        store.relayed_reads.set_forwarder(NeighbourForwarder(table, now_s))
        table.paths.replace_neighbours(self._neighbours_of(host))

    def _neighbours_of(self, host: Host) -> list[Neighbour]:
        near = [one for one in self.gateways if one.zone == host.zone and one is not host]
        far = [one for one in self.gateways if one.zone != host.zone]
        place = sum(one.node_id < host.node_id for one in near)
        neighbours = (near[place:] + near[:place])[:4] + far[:1]
        return [Neighbour(one.node_id, one.zone, one.address) for one in neighbours]

    def cut_off(self, host: Host, is_known: bool = True) -> None:
        """Cut a gateway off from all readers and from the store."""
        for reader in self.readers:
            self.cuts.add((host.node_id, reader.node_id))
        self.store.block(host.node_id, Outage.SILENT)
        if is_known:
            eventlet.spawn_after(DETECTED_S, self._note_cut, host)

    def _note_cut(self, host: Host) -> None:
        for reader in self.readers:
            self.tables[host.node_id].paths.note_late(reader.address, now_s())

    def heal(self, host: Host) -> None:
        """Reconnect a gateway."""
        self.cuts = {cut for cut in self.cuts if cut[0] != host.node_id}
        self.store.unblock(host.node_id)
        for reader in self.readers:
            self.tables[host.node_id].paths.note_slow(reader.address, now_s())


class Result(NamedTuple):
    """Result of a schedule.

    :ivar oldest_s: the greatest age of a configuration at a gateway in the schedule.
    :ivar trusted_s: by how many seconds a gateway trusted its configuration too long.
    :ivar late_s: how long a version took at most to be in force, from its acknowledgement.
    :ivar back_s: how long gateways took at most to read directly again.
    :ivar asked: the most messages of a gateway to neighbours per second of the cut, on average.
    :ivar asked_without_cut: number of messages to neighbours while nothing was cut.
    :ivar max_in_flight: the most requests that a gateway forwarded at once.
    """

    oldest_s: float
    trusted_s: float
    late_s: float
    back_s: float
    asked: float
    asked_without_cut: int
    max_in_flight: int


class Plan(NamedTuple):
    """Parameters of a schedule.

    :ivar cut: number of gateways that are cut off.
    :ivar seconds: duration of the cut; random if None.
    :ivar kills: whether neighbours are killed during the cut.
    :ivar late_share: fraction of answers that are late.
    :ivar duplicate_share: fraction of answers that arrive twice.
    """

    gateways: int = 9
    cut: int = 1
    seconds: float | None = None
    kills: bool = False
    late_share: float = 0.0
    duplicate_share: float = 0.0


class _Schedule:
    def __init__(self, seed: int, plan: Plan) -> None:
        self.rng = random.Random(seed)
        self.plan = plan
        self.world = RelayedReadsWorld(self.rng, plan.gateways)
        self.world.late_share = plan.late_share
        self.world.duplicate_share = plan.duplicate_share
        self.world.cuts_are_silent = self.rng.random() < 0.5
        self.oldest_s = 0.0
        self.is_over = False

    def play(self) -> Result:
        world = self.world
        world.publish()
        world.start_all()
        eventlet.sleep(BEFORE_CUT_S + self.rng.random())
        without_cut = world.asked.total()
        cut = self.rng.sample(world.gateways, self.plan.cut)
        for host in cut:
            world.cut_off(host, is_known=self.rng.random() < 0.7)
        eventlet.spawn_n(self._watch_ages, cut)
        if self.plan.kills:
            eventlet.spawn_n(self._kill_neighbours, cut)
        seconds = self.plan.seconds or self.rng.uniform(5.0, 12.0)
        end_s = now_s() + seconds
        while now_s() < end_s:
            eventlet.sleep(self.rng.uniform(0.2, 2.0))
            world.publish()
        asked = max(world.asked[host.node_id] for host in cut) / seconds
        back_s = self._heal(cut)
        eventlet.sleep(IN_FLIGHT_S)
        before = world.asked.total()
        eventlet.sleep(SETTLE_S)
        without_cut += world.asked.total() - before
        self.is_over = True
        late_s = max(self._late_s(host) for host in cut)
        trusted_s = max(_trusted_s(world, host) for host in world.gateways if host.is_up)
        return Result(
            self.oldest_s, trusted_s, late_s, back_s, asked, without_cut, world.max_in_flight
        )

    def _watch_ages(self, hosts: list[Host]) -> None:
        while not self.is_over:
            ages_s = [
                now_s() - max(verification.as_of_s for verification in host.verified)
                for host in hosts
            ]
            self.oldest_s = max(self.oldest_s, *ages_s)
            eventlet.sleep(CHECK_S)

    def _kill_neighbours(self, cut: list[Host]) -> None:
        """For each cut gateway, kill the neighbour that it uses after some seconds."""
        for host in cut:
            eventlet.sleep(self.rng.uniform(2.0, 3.0))
            table = self.world.tables[host.node_id]
            neighbour = table.paths.available_neighbour(now_s(), [])
            if neighbour is not None and self.world.hosts[neighbour.node_id] not in cut:
                self.world.kill(self.world.hosts[neighbour.node_id])

    def _heal(self, cut: list[Host]) -> float:
        healed_s = now_s()
        for host in cut:
            self.world.heal(host)
        while any(self.world.stores[host.node_id].relayed_reads.is_active for host in cut):
            assert now_s() - healed_s < MAX_BACK_S
            eventlet.sleep(CHECK_S)
        return now_s() - healed_s

    def _late_s(self, host: Host) -> float:
        """Return how long a version took at most to be in force."""
        return max(
            min((seen.at_s for seen in host.seen if seen.version >= version), default=1e9) - at_s
            for at_s, version in self.world.acknowledged
            if version > 1
        )


def _trusted_s(world: FollowingWorld, host: Host) -> float:
    """Return by how many seconds a gateway trusted its configuration too long; 0.0 if never."""
    worst_s = 0.0
    for verification in host.verified:
        known = max(
            (seen.version for seen in host.seen if seen.at_s <= verification.at_s), default=0
        )
        missed_s = [
            at_s
            for at_s, version in world.acknowledged
            if version > known and at_s < verification.as_of_s
        ]
        if missed_s:
            worst_s = max(worst_s, verification.as_of_s - missed_s[0])
    return worst_s


def play(seed: int, plan: Plan) -> Result:
    """Play one schedule on a virtual clock."""

    def run() -> Result:
        schedule = _Schedule(seed, plan)
        with connections_to(schedule.world):
            return schedule.play()

    found: Result = run_virtually(run)
    return found


def asked_without(situation: str, seed: int) -> int:
    """Return the number of messages to neighbours in a situation without cut gateways."""

    def run() -> int:
        world = RelayedReadsWorld(random.Random(seed))
        with connections_to(world):
            world.publish()
            world.start_all()
            eventlet.sleep(BEFORE_CUT_S + world.rng.random())
            _SITUATIONS[situation](world)
            eventlet.sleep(SETTLE_S)
            return world.asked.total()

    found: int = run_virtually(run)
    return found


def _nothing(world: RelayedReadsWorld) -> None:
    eventlet.sleep(30.0)


def _outage(how: Outage) -> Callable[[RelayedReadsWorld], None]:
    def play_outage(world: RelayedReadsWorld) -> None:
        world.store.begin_outage(how)
        eventlet.sleep(world.rng.uniform(1.0, 8.0))
        world.store.end_outage()

    return play_outage


def _reader_killed(world: RelayedReadsWorld) -> None:
    world.kill(world.rng.choice(world.readers))
    eventlet.sleep(5.0)


def _reader_frozen(world: RelayedReadsWorld) -> None:
    reader = world.rng.choice(world.readers)
    reader.is_frozen = True
    eventlet.sleep(5.0)
    reader.is_frozen = False


def _zone_cut(world: RelayedReadsWorld) -> None:
    """Cut a zone off from the store and from the machines of other zones."""
    for host in world.hosts.values():
        if host.zone == "a":
            world.store.block(host.node_id, Outage.SILENT)
    inner = [host for host in world.gateways if host.zone == "a"]
    outer = [host for host in world.readers if host.zone != "a"]
    world.cuts |= {(one.node_id, other.node_id) for one in inner for other in outer}
    world.cuts_are_silent = world.rng.random() < 0.5
    eventlet.sleep(8.0)


_SITUATIONS: dict[str, Callable[[RelayedReadsWorld], None]] = {
    "nothing happens": _nothing,
    "the store is silent": _outage(Outage.SILENT),
    "the store resets connections": _outage(Outage.RESET),
    "the store is busy": _outage(Outage.BUSY),
    "a reader is killed": _reader_killed,
    "a reader is frozen": _reader_frozen,
    "a zone is cut off whole": _zone_cut,
}


class Refusal(NamedTuple):
    """What happens to a neighbour that refuses reads of the store.

    :ivar asked: number of requests that it got in a cut.
    :ivar is_skipped: whether requests to replicas skip it as well.
    :ivar oldest_s: the age of the configuration at the end.
    """

    asked: int
    is_skipped: bool
    oldest_s: float


def refused(seed: int, seconds: float) -> Refusal:
    """Play a cut of a gateway whose first neighbour refuses reads of the store."""

    def run() -> Refusal:
        world = RelayedReadsWorld(random.Random(seed))
        with connections_to(world):
            world.publish()
            world.start_all()
            eventlet.sleep(BEFORE_CUT_S)
            host = world.gateways[0]
            table = world.tables[host.node_id]
            first = table.paths.neighbours[0].node_id
            world.forwarders[first] = ForwardHandler(world.tables[first], lambda address: False)
            world.cut_off(host)
            eventlet.sleep(seconds)
            useful = table.paths.available_neighbour(now_s(), [])
            age_s = now_s() - max(verification.as_of_s for verification in host.verified)
            is_skipped = useful is None or useful.node_id != first
            return Refusal(table.relayed[first], is_skipped, age_s)

    found: Refusal = run_virtually(run)
    return found


# Mutants


def _counted_from_reply(reply: ObjectsReply, sent_at_s: float) -> float | None:
    return None if reply.proved_after_s is None else now_s() + reply.proved_after_s


def _return_earlier_answer(
    self: ForwardHandler, request: Any, reply: Callable[[object], None]
) -> None:
    """Answer with the reply to the previous request of the same gateway."""
    kept: dict[Any, object] = self.__dict__.setdefault("kept", {})
    key = (request.node_id, request.request)

    def keep(found: object) -> None:
        kept[key] = found
        reply(found)

    if key in kept:
        reply(kept.pop(key))
    else:
        _handle(self, request, keep)


_handle = ForwardHandler.handle

MUTANTS: dict[str, Callable[[], AbstractContextManager[Any]]] = {
    "the client counts from the reply": lambda: patch.object(
        replies, "verified_at_s", _counted_from_reply
    ),
    "a neighbour returns an earlier answer": lambda: patch.object(
        ForwardHandler, "handle", _return_earlier_answer
    ),
}
