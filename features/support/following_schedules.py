"""Random schedules of overlapping failures, and how long a configuration takes to be in force."""

import random
from collections.abc import Callable
from typing import NamedTuple

import eventlet

from features.support.following_model import FollowingWorld, Host, connections_to
from features.support.following_store import ANSWER_S, Outage
from features.support.virtual_time import now_s, run_virtually
from yarrowwall.decisions import DependencyChanged

#: Seconds from the start until failures begin, and seconds without failures after the last one.
CALM_S = 6.0
SETTLE_S = 9.0
#: Fraction of the gateways that are killed together.
KILLED_SHARE = 0.55
#: Seconds until a killed process restarts.
RESTART_S = 1.0


class Late(NamedTuple):
    """How long a version took to be in force at a gateway.

    :ivar lag_s: from its acknowledgement, or from the end of the last failure that excuses it.
    """

    lag_s: float
    gateway: str
    version: int


class Outcome(NamedTuple):
    """Outcome of a schedule."""

    seed: int
    failure: str
    worst: Late
    returned_to_older: bool
    calls: int


def _returned_to_older(host: Host) -> bool:
    """Return whether a gateway returned to an older version, also across a restart."""
    versions = [host.newest_before, *(seen.version for seen in host.seen)]
    return versions != sorted(versions)


class _Schedule:
    def __init__(self, seed: int, failure: str, gateways: int = 8) -> None:
        self.rng = random.Random(f"{seed} {failure}")
        self.world = FollowingWorld(gateways)
        self.excused_until_s: dict[str, float] = {}
        self.failure = failure
        self.seed = seed

    def play(self) -> Outcome:
        world = self.world
        world.publish()
        world.start_all()
        eventlet.sleep(CALM_S + self.rng.random())
        world.publish()
        eventlet.sleep(0.5 + self.rng.random())
        FAILURES[self.failure](self)
        eventlet.sleep(SETTLE_S)
        lates = [
            self._late(host, version, at) for host in world.gateways for at, version in self._due()
        ]
        returned_to_older = any(_returned_to_older(host) for host in world.gateways)
        return Outcome(self.seed, self.failure, max(lates), returned_to_older, world.store.calls)

    def _due(self) -> list[tuple[float, int]]:
        return [(at, version) for at, version in self.world.acknowledged if version > 1]

    def _late(self, host: Host, version: int, at: float) -> Late:
        excuses = self.excused_until_s
        due_s = max(at, excuses.get(host.node_id, 0.0), excuses.get("", 0.0))
        known = [seen.at_s for seen in host.seen if seen.version >= version]
        if not known:
            return Late(float("inf"), host.node_id, version)
        return Late(min(known) - due_s, host.node_id, version)

    # Steps of failures

    def excuse(self, host: Host | None = None) -> None:
        """Note that a failure kept a machine, or all, from learning of changes until now."""
        self.excused_until_s[host.node_id if host else ""] = now_s()

    def outage(self, how: Outage, seconds: float) -> None:
        self.world.store.begin_outage(how)
        eventlet.sleep(seconds)
        self.world.store.end_outage()
        self.excuse()

    def acknowledge_burst(self) -> None:
        """Acknowledge pending changes, one after the other."""
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

    def kill_gateways(self) -> None:
        gateways = self.world.gateways
        for host in self.rng.sample(gateways, int(len(gateways) * KILLED_SHARE)):
            self.kill(host)

    def any_outage(self) -> Outage:
        return self.rng.choice(list(Outage))


def _outage(schedule: _Schedule) -> None:
    schedule.outage(schedule.any_outage(), schedule.rng.uniform(1.0, 15.0))
    schedule.acknowledge_burst()


def _outage_and_killed_gateways(schedule: _Schedule) -> None:
    seconds = schedule.rng.uniform(2.5, 15.0)
    eventlet.spawn_after(schedule.rng.uniform(0.2, seconds - 1.2), schedule.kill_gateways)
    schedule.outage(schedule.any_outage(), seconds)
    schedule.acknowledge_burst()


def _two_outages(schedule: _Schedule) -> None:
    for _ in range(2):
        schedule.outage(schedule.any_outage(), schedule.rng.uniform(0.5, 6.0))
        schedule.acknowledge_burst()
        eventlet.sleep(schedule.rng.uniform(0.1, 2.0))


def _outage_and_readers(schedule: _Schedule) -> None:
    """Readers are killed in the outage and have restarted before its end."""
    seconds = schedule.rng.uniform(3.0, 12.0)
    for host in schedule.world.readers:
        if schedule.rng.random() < 0.7:
            at = schedule.rng.uniform(0.1, seconds - 1.5)
            eventlet.spawn_after(at, schedule.kill, host)
    schedule.outage(schedule.any_outage(), seconds)
    schedule.acknowledge_burst()


def _drop_history(schedule: _Schedule) -> None:
    """Withhold changes from watches for up to a second, then drop the history."""
    schedule.world.store.withhold_changes()
    eventlet.sleep(schedule.rng.uniform(0.0, 0.5))
    schedule.world.publish()
    eventlet.sleep(schedule.rng.uniform(0.0, 0.5))
    schedule.world.store.drop_history()


def _history_dropped(schedule: _Schedule) -> None:
    _drop_history(schedule)
    schedule.acknowledge_burst()
    schedule.outage(schedule.any_outage(), schedule.rng.uniform(1.0, 6.0))
    _drop_history(schedule)
    schedule.acknowledge_burst()


def _slow_afterwards(schedule: _Schedule) -> None:
    """The store answers 60 times as slowly after it has recovered."""
    schedule.world.store.slow_s = 0.24
    schedule.outage(schedule.any_outage(), schedule.rng.uniform(1.0, 8.0))
    schedule.acknowledge_burst()
    eventlet.sleep(3.0)
    schedule.world.store.slow_s = 0.0


def _readers_blocked(schedule: _Schedule) -> None:
    """The store serves gateways and operators, but no reader."""
    for host in schedule.world.readers:
        schedule.world.store.block(host.node_id, schedule.any_outage())
    eventlet.sleep(schedule.rng.uniform(0.0, 3.0))
    schedule.acknowledge_burst()
    eventlet.sleep(schedule.rng.uniform(2.5, 5.0))
    for host in schedule.world.readers:
        schedule.world.store.unblock(host.node_id)


def _gateways_blocked(schedule: _Schedule) -> None:
    """The store serves readers and operators, but no gateway."""
    for host in schedule.world.gateways:
        schedule.world.store.block(host.node_id, schedule.any_outage())
    eventlet.sleep(schedule.rng.uniform(0.0, 3.0))
    schedule.acknowledge_burst()
    eventlet.sleep(schedule.rng.uniform(2.5, 5.0))


def _reader_frozen(schedule: _Schedule) -> None:
    host = schedule.rng.choice(schedule.world.readers)
    host.is_frozen = True
    eventlet.sleep(schedule.rng.uniform(0.0, 1.0))
    schedule.acknowledge_burst()
    eventlet.sleep(schedule.rng.uniform(2.5, 4.0))
    host.is_frozen = False
    schedule.acknowledge_burst()


def _reader_killed(schedule: _Schedule) -> None:
    host = schedule.rng.choice(schedule.world.readers)
    schedule.kill(host, schedule.rng.uniform(0.5, 4.0))
    schedule.acknowledge_burst()
    eventlet.sleep(3.0)
    schedule.acknowledge_burst()


def _gateways_killed(schedule: _Schedule) -> None:
    """Gateways are killed right after a change took effect there."""
    for _ in range(3):
        schedule.acknowledge_burst()
        eventlet.sleep(schedule.rng.uniform(0.0, 0.3))
        schedule.kill_gateways()
        eventlet.sleep(schedule.rng.uniform(RESTART_S, 3.0))


def _cut_from_readers(schedule: _Schedule) -> None:
    """Gateways reach the store but no reader."""
    for gateway in schedule.world.gateways:
        for reader in schedule.world.readers:
            schedule.world.cuts.add((gateway.node_id, reader.node_id))
    eventlet.sleep(schedule.rng.uniform(0.0, 2.0))
    schedule.acknowledge_burst()
    eventlet.sleep(schedule.rng.uniform(2.5, 5.0))
    schedule.world.cuts.clear()
    schedule.acknowledge_burst()


FAILURES: dict[str, Callable[[_Schedule], None]] = {
    "outage": _outage,
    "outage, half of the gateways killed": _outage_and_killed_gateways,
    "two outages": _two_outages,
    "outage, readers killed": _outage_and_readers,
    "history dropped": _history_dropped,
    "slow after an outage": _slow_afterwards,
    "readers turned away": _readers_blocked,
    "gateways killed": _gateways_killed,
    "gateways turned away": _gateways_blocked,
    "a reader frozen": _reader_frozen,
    "a reader killed": _reader_killed,
    "cut off from the readers": _cut_from_readers,
}

#: Failures in which the store is unavailable to all and recovers.
OUTAGES = (
    "outage",
    "outage, half of the gateways killed",
    "two outages",
    "outage, readers killed",
    "history dropped",
    "slow after an outage",
)


def play(seed: int, failure: str) -> Outcome:
    """Play one schedule on a virtual clock."""

    def run() -> Outcome:
        schedule = _Schedule(seed, failure)
        with connections_to(schedule.world):
            return schedule.play()

    return run_virtually(run)


def readers_left_after(seed: int, since_s: float) -> list[str]:
    """Play two silent outages; return which readers gateways leave how long after the last one."""

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
    recovered_s = now_s()
    schedule.acknowledge_burst()
    eventlet.sleep(SETTLE_S)
    return [
        f"{host.node_id} leaves {line.dependency} at {at - recovered_s:.2f} s"
        for host in world.gateways
        for at, line in host.lines.lines
        if isinstance(line, DependencyChanged) and at > recovered_s + since_s
        if line.dependency.startswith("reader/") and not line.is_up
    ]


class Recovery(NamedTuple):
    """How gateways verified their configurations after an outage of the store.

    :ivar lags_s: seconds from the recovery to the first verification, of each gateway.
    :ivar calls: calls to the store in the outage and the second after it.
    """

    lags_s: list[float]
    calls: int


def verifications_after(seed: int, how: Outage, gateways: int = 8) -> Recovery:
    """Play an outage; return how soon each gateway verified its configuration after it."""

    def run() -> Recovery:
        schedule = _Schedule(seed, "outage", gateways)
        with connections_to(schedule.world):
            return _verifications_after(schedule, how)

    found: Recovery = run_virtually(run)
    return found


def _verifications_after(schedule: _Schedule, how: Outage) -> Recovery:
    world = schedule.world
    world.publish()
    world.start_all()
    eventlet.sleep(CALM_S + schedule.rng.random())
    before = world.store.calls
    schedule.outage(how, schedule.rng.uniform(1.0, 8.0))
    recovered_s = now_s()
    eventlet.sleep(1.0)
    calls = world.store.calls - before
    eventlet.sleep(SETTLE_S)
    lags_s = [
        # A request that is sent right before the recovery is answered too.
        next(
            (
                seen.at_s - recovered_s
                for seen in host.verified
                if seen.as_of_s >= recovered_s - ANSWER_S
            ),
            float("inf"),
        )
        for host in world.gateways
    ]
    return Recovery(lags_s, calls)
