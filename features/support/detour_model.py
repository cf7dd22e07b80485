"""Gateways that are cut off from readers and store, on a virtual clock.

They ask readers through neighbours: passage, forwarder, paths and followers are the product's.
Only connections are stand-ins; answers that travel through them may be late or come twice.
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

#: Seconds of calm before a cut and behind it.
CALM_S = 6.0
SETTLE_S = 4.0
#: Seconds after which no question that was begun in a cut is under way.
UNDER_WAY_S = 1.0
#: Seconds between two looks at the ages.
LOOK_S = 0.05
#: Seconds after a cut in which a schedule waits for gateways to ask directly again.
MOST_BACK_S = 20.0
#: Seconds after which a gateway that is cut off, and serves callers, holds itself to be.
KNOWN_S = 0.2


class _DirectLink(PeerLink):
    """A link to a reader for what is passed on."""

    def post_directly(self, request: Any, complete: Callable[[object | None], None]) -> int:
        return self.post(request, complete)

    def forget_direct(self, number: int) -> None:
        """Nothing is kept."""


class _NeighbourLink(PeerLink):
    """A link to another gateway; its answers may be late, or come twice."""

    def _carry(
        self, request: Any, complete: Callable[[object | None], None], incarnation: int, asking: int
    ) -> None:
        world = self._world
        assert isinstance(world, DetourWorld)
        world.asked[self._asker.node_id] += 1
        if not self._reader.is_up:
            return
        forwarder = world.forwarders[self._reader.node_id]
        world.most_under_way = max(world.most_under_way, forwarder.in_flight[0] + 1)

        def reply(found: object) -> None:
            for delay_s in world.delays_s():
                eventlet.spawn_after(delay_s, self._bring, found, complete, incarnation, asking)

        for _ in range(2 if world.rng.random() < world.twice_part else 1):
            forwarder.handle(request, reply)


class _NeighbourLinks(Links):
    def get(self, address: str) -> PeerLink:
        return _NeighbourLink(self._world, self._host, self._world.hosts[address])


class _Table(RelayedLinkTable):
    """The product's, whose links are stand-ins."""

    def __init__(self, world: "DetourWorld", host: Host) -> None:
        log: Any = host.lines
        super().__init__(host.node_id, log, now_s)
        self._world = world
        self._host = host
        self._neighbours: Any = _NeighbourLinks(world, host)

    def get(self, address: str) -> Any:
        return _DirectLink(self._world, self._host, self._world.hosts[address])


class DetourWorld(FollowingWorld):
    """Machines of which gateways pass questions on for one another.

    :ivar asked: messages of each gateway to its neighbours.
    :ivar most_under_way: what a gateway passed on at once at most.
    """

    def __init__(self, rng: random.Random, gateways: int = 9) -> None:
        super().__init__(gateways)
        self.rng = rng
        self.tables: dict[str, _Table] = {}
        self.forwarders: dict[str, ForwardHandler] = {}
        self.stores: dict[str, StoreClient] = {}
        self.asked: Counter[str] = Counter()
        self.most_under_way = 0
        self.late_part = 0.0
        self.twice_part = 0.0

    def delays_s(self) -> list[float]:
        """Return when an answer of a neighbour arrives, once or twice."""
        count = 2 if self.rng.random() < self.twice_part else 1
        return [
            self.rng.uniform(0.1, 6.0) if self.rng.random() < self.late_part else 0.001
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
        told = (near[place:] + near[:place])[:4] + far[:1]
        return [Neighbour(one.node_id, one.zone, one.node_id) for one in told]

    def cut_off(self, host: Host, is_known: bool = True) -> None:
        """Cut a gateway off from all readers and from the store."""
        for reader in self.readers:
            self.cuts.add((host.node_id, reader.node_id))
        self.store.turn_away(host.node_id, Outage.SILENT)
        if is_known:
            eventlet.spawn_after(KNOWN_S, self._note_cut, host)

    def _note_cut(self, host: Host) -> None:
        for reader in self.readers:
            self.tables[host.node_id].paths.note_late(reader.node_id, now_s())

    def heal(self, host: Host) -> None:
        """End a gateway's cut."""
        self.cuts = {cut for cut in self.cuts if cut[0] != host.node_id}
        self.store.let_in(host.node_id)
        for reader in self.readers:
            self.tables[host.node_id].paths.note_slow(reader.node_id, now_s())


class Course(NamedTuple):
    """What a schedule came to.

    :ivar oldest_s: the greatest age of a configuration at a gateway in the schedule.
    :ivar trusted_s: by how many seconds a gateway trusted its configuration too long.
    :ivar late_s: how long a version took at most to be in force, from its acknowledgement.
    :ivar back_s: how long gateways took at most to ask directly again.
    :ivar asked: the most messages of a gateway to neighbours in a second of the cut, on average.
    :ivar asked_calm: messages to neighbours while nothing was cut.
    :ivar most_under_way: what a gateway passed on at once at most.
    """

    oldest_s: float
    trusted_s: float
    late_s: float
    back_s: float
    asked: float
    asked_calm: int
    most_under_way: int


class Plan(NamedTuple):
    """What happens in a schedule.

    :ivar cut: how many gateways are cut off.
    :ivar seconds: for how long; drawn if None.
    :ivar kills: whether neighbours die meanwhile.
    """

    gateways: int = 9
    cut: int = 1
    seconds: float | None = None
    kills: bool = False
    late_part: float = 0.0
    twice_part: float = 0.0


class _Schedule:
    def __init__(self, seed: int, plan: Plan) -> None:
        self.rng = random.Random(seed)
        self.plan = plan
        self.world = DetourWorld(self.rng, plan.gateways)
        self.world.late_part = plan.late_part
        self.world.twice_part = plan.twice_part
        self.world.cuts_are_silent = self.rng.random() < 0.5
        self.oldest_s = 0.0
        self.is_over = False

    def play(self) -> Course:
        world = self.world
        world.publish()
        world.start_all()
        eventlet.sleep(CALM_S + self.rng.random())
        calm = world.asked.total()
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
        eventlet.sleep(UNDER_WAY_S)
        before = world.asked.total()
        eventlet.sleep(SETTLE_S)
        calm += world.asked.total() - before
        self.is_over = True
        late_s = max(self._late_s(host) for host in cut)
        trusted_s = max(_trusted_s(world, host) for host in world.gateways if host.is_up)
        return Course(self.oldest_s, trusted_s, late_s, back_s, asked, calm, world.most_under_way)

    def _watch_ages(self, hosts: list[Host]) -> None:
        while not self.is_over:
            ages_s = [now_s() - max(proof.proved_s for proof in host.proved) for host in hosts]
            self.oldest_s = max(self.oldest_s, *ages_s)
            eventlet.sleep(LOOK_S)

    def _kill_neighbours(self, cut: list[Host]) -> None:
        """Kill the neighbour that is asked now, again and again while there are others."""
        for host in cut:
            eventlet.sleep(self.rng.uniform(2.0, 3.0))
            table = self.world.tables[host.node_id]
            neighbour = table.paths.useful_neighbour(now_s(), [])
            if neighbour is not None and self.world.hosts[neighbour.node_id] not in cut:
                self.world.kill(self.world.hosts[neighbour.node_id])

    def _heal(self, cut: list[Host]) -> float:
        healed_s = now_s()
        for host in cut:
            self.world.heal(host)
        while any(self.world.stores[host.node_id].relayed_reads.is_active for host in cut):
            assert now_s() - healed_s < MOST_BACK_S
            eventlet.sleep(LOOK_S)
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
    for proof in host.proved:
        known = max((seen.version for seen in host.seen if seen.at_s <= proof.at_s), default=0)
        missed_s = [
            at_s
            for at_s, version in world.acknowledged
            if version > known and at_s < proof.proved_s
        ]
        if missed_s:
            worst_s = max(worst_s, proof.proved_s - missed_s[0])
    return worst_s


def play(seed: int, plan: Plan) -> Course:
    """Play one schedule on a virtual clock."""

    def run() -> Course:
        schedule = _Schedule(seed, plan)
        with connections_to(schedule.world):
            return schedule.play()

    found: Course = run_virtually(run)
    return found


def asked_without(trouble: str, seed: int) -> int:
    """Return the messages to neighbours in a trouble that is no cut of gateways."""

    def run() -> int:
        world = DetourWorld(random.Random(seed))
        with connections_to(world):
            world.publish()
            world.start_all()
            eventlet.sleep(CALM_S + world.rng.random())
            _TROUBLES[trouble](world)
            eventlet.sleep(SETTLE_S)
            return world.asked.total()

    found: int = run_virtually(run)
    return found


def _nothing(world: DetourWorld) -> None:
    eventlet.sleep(30.0)


def _outage(how: Outage) -> Callable[[DetourWorld], None]:
    def play_outage(world: DetourWorld) -> None:
        world.store.go_away(how)
        eventlet.sleep(world.rng.uniform(1.0, 8.0))
        world.store.come_back()

    return play_outage


def _reader_killed(world: DetourWorld) -> None:
    world.kill(world.rng.choice(world.readers))
    eventlet.sleep(5.0)


def _reader_frozen(world: DetourWorld) -> None:
    reader = world.rng.choice(world.readers)
    reader.is_frozen = True
    eventlet.sleep(5.0)
    reader.is_frozen = False


def _zone_cut(world: DetourWorld) -> None:
    """Cut a zone off from the store and from the machines of other zones."""
    for host in world.hosts.values():
        if host.zone == "a":
            world.store.turn_away(host.node_id, Outage.SILENT)
    inner = [host for host in world.gateways if host.zone == "a"]
    outer = [host for host in world.readers if host.zone != "a"]
    world.cuts |= {(one.node_id, other.node_id) for one in inner for other in outer}
    world.cuts_are_silent = world.rng.random() < 0.5
    eventlet.sleep(8.0)


_TROUBLES: dict[str, Callable[[DetourWorld], None]] = {
    "nothing happens": _nothing,
    "the store is silent": _outage(Outage.SILENT),
    "the store resets connections": _outage(Outage.RESET),
    "the store is busy": _outage(Outage.BUSY),
    "a reader is killed": _reader_killed,
    "a reader is frozen": _reader_frozen,
    "a zone is cut off whole": _zone_cut,
}


class Refusal(NamedTuple):
    """What became of a neighbour that refuses questions to readers.

    :ivar asked: how often it was asked in a cut.
    :ivar is_passed_over: whether requests to replicas pass it over as well.
    :ivar oldest_s: the age of the configuration at the end.
    """

    asked: int
    is_passed_over: bool
    oldest_s: float


def refused(seed: int, seconds: float) -> Refusal:
    """Play a cut of a gateway whose first neighbour refuses questions to readers."""

    def run() -> Refusal:
        world = DetourWorld(random.Random(seed))
        with connections_to(world):
            world.publish()
            world.start_all()
            eventlet.sleep(CALM_S)
            host = world.gateways[0]
            table = world.tables[host.node_id]
            first = table.paths.neighbours[0].node_id
            world.forwarders[first] = ForwardHandler(world.tables[first], lambda address: False)
            world.cut_off(host)
            eventlet.sleep(seconds)
            useful = table.paths.useful_neighbour(now_s(), [])
            age_s = now_s() - max(proof.proved_s for proof in host.proved)
            is_passed_over = useful is None or useful.node_id != first
            return Refusal(table.relayed[first], is_passed_over, age_s)

    found: Refusal = run_virtually(run)
    return found


# Mutants


def _counted_from_reply(reply: ObjectsReply, sent_at_s: float) -> float | None:
    return None if reply.proved_after_s is None else now_s() + reply.proved_after_s


def _brought_again(self: ForwardHandler, request: Any, reply: Callable[[object], None]) -> None:
    """Answer with what the last question of the same asker brought."""
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
    "the asker counts from the reply": lambda: patch.object(
        replies, "verified_at_s", _counted_from_reply
    ),
    "a neighbour brings an earlier answer again": lambda: patch.object(
        ForwardHandler, "handle", _brought_again
    ),
}
