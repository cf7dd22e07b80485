"""Random schedules of troubles that overlap, and how long a configuration takes to be in force."""

import random
from collections.abc import Callable
from typing import NamedTuple

import eventlet

from features.support.following_model import FollowingWorld, Host, connections_to
from features.support.following_store import ANSWER_S, Outage
from features.support.virtual_time import now_s, run_virtually
from yarrowwall.decisions import DependencyChanged

#: Seconds from the start until troubles begin, and of the calm after the last.
CALM_S = 6.0
SETTLE_S = 9.0
#: Part of the gateways that die together.
HERD_PART = 0.55
#: Seconds until a process that was killed starts again.
RESTART_S = 1.0


class Late(NamedTuple):
    """How long a version took to be in force at a gateway.

    :ivar lag_s: from its acknowledgement, or from the last moment at which trouble excuses it.
    """

    lag_s: float
    gateway: str
    version: int


class Outcome(NamedTuple):
    """What a schedule came to."""

    seed: int
    trouble: str
    worst: Late
    went_back: bool
    calls: int


def _went_back(host: Host) -> bool:
    """Return whether a gateway went by an older version than before, also across a start."""
    versions = [host.had, *(seen.version for seen in host.seen)]
    return versions != sorted(versions)


class _Schedule:
    def __init__(self, seed: int, trouble: str, gateways: int = 8) -> None:
        self.rng = random.Random(f"{seed} {trouble}")
        self.world = FollowingWorld(gateways)
        self.excused_until_s: dict[str, float] = {}
        self.trouble = trouble
        self.seed = seed

    def play(self) -> Outcome:
        world = self.world
        world.publish()
        world.start_all()
        eventlet.sleep(CALM_S + self.rng.random())
        world.publish()
        eventlet.sleep(0.5 + self.rng.random())
        TROUBLES[self.trouble](self)
        eventlet.sleep(SETTLE_S)
        lates = [
            self._late(host, version, at) for host in world.gateways for at, version in self._due()
        ]
        went_back = any(_went_back(host) for host in world.gateways)
        return Outcome(self.seed, self.trouble, max(lates), went_back, world.store.calls)

    def _due(self) -> list[tuple[float, int]]:
        return [(at, version) for at, version in self.world.acknowledged if version > 1]

    def _late(self, host: Host, version: int, at: float) -> Late:
        excuses = self.excused_until_s
        due_s = max(at, excuses.get(host.node_id, 0.0), excuses.get("", 0.0))
        known = [seen.at_s for seen in host.seen if seen.version >= version]
        if not known:
            return Late(float("inf"), host.node_id, version)
        return Late(min(known) - due_s, host.node_id, version)

    # Parts of troubles

    def excuse(self, host: Host | None = None) -> None:
        """Note that trouble kept a machine, or all, from knowing until now."""
        self.excused_until_s[host.node_id if host else ""] = now_s()

    def outage(self, how: Outage, seconds: float) -> None:
        self.world.store.go_away(how)
        eventlet.sleep(seconds)
        self.world.store.come_back()
        self.excuse()

    def row(self) -> None:
        """Acknowledge changes that waited, one after the other."""
        eventlet.sleep(self.rng.uniform(0.0, 0.5))
        for _ in range(self.rng.randint(1, 5)):
            self.world.publish()
            eventlet.sleep(0.03)

    def kill(self, host: Host, seconds: float = RESTART_S) -> None:
        self.world.kill(host)

        def start() -> None:
            self.world.start(host)
            self.excuse(host)

        eventlet.spawn_after(seconds, start)

    def herd(self) -> None:
        gateways = self.world.gateways
        for host in self.rng.sample(gateways, int(len(gateways) * HERD_PART)):
            self.kill(host)

    def any_way(self) -> Outage:
        return self.rng.choice(list(Outage))


def _outage(schedule: _Schedule) -> None:
    schedule.outage(schedule.any_way(), schedule.rng.uniform(1.0, 15.0))
    schedule.row()


def _outage_and_herd(schedule: _Schedule) -> None:
    seconds = schedule.rng.uniform(2.5, 15.0)
    eventlet.spawn_after(schedule.rng.uniform(0.2, seconds - 1.2), schedule.herd)
    schedule.outage(schedule.any_way(), seconds)
    schedule.row()


def _two_outages(schedule: _Schedule) -> None:
    for _ in range(2):
        schedule.outage(schedule.any_way(), schedule.rng.uniform(0.5, 6.0))
        schedule.row()
        eventlet.sleep(schedule.rng.uniform(0.1, 2.0))


def _outage_and_readers(schedule: _Schedule) -> None:
    """Readers die within the outage and are back before its end."""
    seconds = schedule.rng.uniform(3.0, 12.0)
    for host in schedule.world.readers:
        if schedule.rng.random() < 0.7:
            at = schedule.rng.uniform(0.1, seconds - 1.5)
            eventlet.spawn_after(at, schedule.kill, host)
    schedule.outage(schedule.any_way(), seconds)
    schedule.row()


def _drop_history(schedule: _Schedule) -> None:
    """Let watches hear nothing for a second while changes are made, then drop the history."""
    schedule.world.store.tell_nothing()
    eventlet.sleep(schedule.rng.uniform(0.0, 0.5))
    schedule.world.publish()
    eventlet.sleep(schedule.rng.uniform(0.0, 0.5))
    schedule.world.store.forget_history()


def _history_dropped(schedule: _Schedule) -> None:
    _drop_history(schedule)
    schedule.row()
    schedule.outage(schedule.any_way(), schedule.rng.uniform(1.0, 6.0))
    _drop_history(schedule)
    schedule.row()


def _slow_afterwards(schedule: _Schedule) -> None:
    """The store answers 60 times as slowly once it is back."""
    schedule.world.store.slow_s = 0.24
    schedule.outage(schedule.any_way(), schedule.rng.uniform(1.0, 8.0))
    schedule.row()
    eventlet.sleep(3.0)
    schedule.world.store.slow_s = 0.0


def _readers_turned_away(schedule: _Schedule) -> None:
    """The store serves gateways and operators, and no reader."""
    for host in schedule.world.readers:
        schedule.world.store.turn_away(host.node_id, schedule.any_way())
    eventlet.sleep(schedule.rng.uniform(0.0, 3.0))
    schedule.row()
    eventlet.sleep(schedule.rng.uniform(2.5, 5.0))
    for host in schedule.world.readers:
        schedule.world.store.let_in(host.node_id)


def _gateways_turned_away(schedule: _Schedule) -> None:
    """The store serves readers and operators, and no gateway."""
    for host in schedule.world.gateways:
        schedule.world.store.turn_away(host.node_id, schedule.any_way())
    eventlet.sleep(schedule.rng.uniform(0.0, 3.0))
    schedule.row()
    eventlet.sleep(schedule.rng.uniform(2.5, 5.0))


def _reader_frozen(schedule: _Schedule) -> None:
    host = schedule.rng.choice(schedule.world.readers)
    host.is_frozen = True
    eventlet.sleep(schedule.rng.uniform(0.0, 1.0))
    schedule.row()
    eventlet.sleep(schedule.rng.uniform(2.5, 4.0))
    host.is_frozen = False
    schedule.row()


def _reader_killed(schedule: _Schedule) -> None:
    host = schedule.rng.choice(schedule.world.readers)
    schedule.kill(host, schedule.rng.uniform(0.5, 4.0))
    schedule.row()
    eventlet.sleep(3.0)
    schedule.row()


def _gateways_killed(schedule: _Schedule) -> None:
    """Gateways die right after a change took effect there."""
    for _ in range(3):
        schedule.row()
        eventlet.sleep(schedule.rng.uniform(0.0, 0.3))
        schedule.herd()
        eventlet.sleep(schedule.rng.uniform(RESTART_S, 3.0))


def _cut_from_readers(schedule: _Schedule) -> None:
    """Gateways hear no reader, and reach the store."""
    for gateway in schedule.world.gateways:
        for reader in schedule.world.readers:
            schedule.world.cuts.add((gateway.node_id, reader.node_id))
    eventlet.sleep(schedule.rng.uniform(0.0, 2.0))
    schedule.row()
    eventlet.sleep(schedule.rng.uniform(2.5, 5.0))
    schedule.world.cuts.clear()
    schedule.row()


TROUBLES: dict[str, Callable[[_Schedule], None]] = {
    "outage": _outage,
    "outage, half of the gateways killed": _outage_and_herd,
    "two outages": _two_outages,
    "outage, readers killed": _outage_and_readers,
    "history dropped": _history_dropped,
    "slow after an outage": _slow_afterwards,
    "readers turned away": _readers_turned_away,
    "gateways killed": _gateways_killed,
    "gateways turned away": _gateways_turned_away,
    "a reader frozen": _reader_frozen,
    "a reader killed": _reader_killed,
    "cut off from the readers": _cut_from_readers,
}

#: Those in which the store is away for all and comes back.
OUTAGES = (
    "outage",
    "outage, half of the gateways killed",
    "two outages",
    "outage, readers killed",
    "history dropped",
    "slow after an outage",
)


def play(seed: int, trouble: str) -> Outcome:
    """Play one schedule on a virtual clock."""

    def run() -> Outcome:
        schedule = _Schedule(seed, trouble)
        with connections_to(schedule.world):
            return schedule.play()

    return run_virtually(run)


def readers_left_after(seed: int, since_s: float) -> list[str]:
    """Play two silent outages; return which readers are left how long after the last one."""

    def run() -> list[str]:
        schedule = _Schedule(seed, "two outages")
        with connections_to(schedule.world):
            return _left_after(schedule, since_s)

    found: list[str] = run_virtually(run)
    return found


def _left_after(schedule: _Schedule, since_s: float) -> list[str]:
    world = schedule.world
    world.publish()
    world.start_all()
    eventlet.sleep(CALM_S)
    schedule.outage(Outage.SILENT, schedule.rng.uniform(1.0, 6.0))
    eventlet.sleep(schedule.rng.uniform(0.1, 1.0))
    schedule.outage(Outage.SILENT, schedule.rng.uniform(0.5, 3.0))
    back_s = now_s()
    schedule.row()
    eventlet.sleep(SETTLE_S)
    return [
        f"{host.node_id} leaves {line.dependency} at {at - back_s:.2f} s"
        for host in world.gateways
        for at, line in host.lines.lines
        if isinstance(line, DependencyChanged) and at > back_s + since_s
        if line.dependency.startswith("reader/") and not line.is_up
    ]


class Return(NamedTuple):
    """How gateways came to a proof after the store had been away.

    :ivar lags_s: from the store's return to the first proof, of each gateway.
    :ivar calls: to the store in the outage and the second behind it.
    """

    lags_s: list[float]
    calls: int


def proofs_after(seed: int, how: Outage, gateways: int = 8) -> Return:
    """Play an outage; return how soon each gateway has a proof from after the store's return."""

    def run() -> Return:
        schedule = _Schedule(seed, "outage", gateways)
        with connections_to(schedule.world):
            return _proofs_after(schedule, how)

    found: Return = run_virtually(run)
    return found


def _proofs_after(schedule: _Schedule, how: Outage) -> Return:
    world = schedule.world
    world.publish()
    world.start_all()
    eventlet.sleep(CALM_S + schedule.rng.random())
    before = world.store.calls
    schedule.outage(how, schedule.rng.uniform(1.0, 8.0))
    back_s = now_s()
    eventlet.sleep(1.0)
    calls = world.store.calls - before
    eventlet.sleep(SETTLE_S)
    lags_s = [
        # A question that is sent while the store comes back is answered too.
        next(
            (seen.at_s - back_s for seen in host.proved if seen.proved_s >= back_s - ANSWER_S),
            float("inf"),
        )
        for host in world.gateways
    ]
    return Return(lags_s, calls)
