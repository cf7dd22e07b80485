"""Machines that follow the store, on a virtual clock: the product's code between stand-ins.

Gateways and readers of a deployment follow a stand-in for the store through its outages. Only
connections, links between machines and the log are stand-ins, so all timeouts, pauses and retries
are the product's.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any, NamedTuple
from unittest.mock import patch

import eventlet
from eventlet.event import Event

from features.support.following_store import StandInConnection, StoreStandIn
from features.support.virtual_time import now_s
from yarrowwall.decisions import Decision
from yarrowwall.messages.replicated import Member
from yarrowwall.platform import store as platform_store
from yarrowwall.platform.store import PlatformStore
from yarrowwall.policy.freshness import Freshness
from yarrowwall.ports.object_store import ObjectName, StoredObject
from yarrowwall.replication.documents import REPLICAS_KIND, member_spec
from yarrowwall.watching import store_client
from yarrowwall.watching.follower import LONG_WATCH_SECONDS, WATCH_SECONDS, KindFollower
from yarrowwall.watching.freshness_probe import FreshnessProbe
from yarrowwall.watching.reader import StoreReader
from yarrowwall.watching.store_client import StoreClient

CONFIG = ObjectName("config", "main")
SERVERS = "servers"
GROUPS = "yarrowwall-groups"
RETIREMENTS = "retirements"
#: Seconds in which a gateway may refuse by an older configuration, as on the smaller deployments.
DENIAL_S = 2.0
#: One-way delay between machines, and the time after which connecting to a dead machine fails.
DELAY_S = 0.001
CONNECT_TIMEOUT_S = 0.3
#: Seconds between two rounds of a machine's maintenance.
MAINTENANCE_S = 0.3


class Seen(NamedTuple):
    """A version that took effect at a gateway."""

    at_s: float
    version: int


class Verified(NamedTuple):
    """When a gateway learned that its configuration was verified, and as of which time."""

    at_s: float
    as_of_s: float


class LogLines:
    """Stands in for the log; keeps each decision with its time."""

    def __init__(self) -> None:
        self.lines: list[tuple[float, Decision]] = []

    def write(self, decision: Decision) -> None:
        """Keep a decision."""
        self.lines.append((now_s(), decision))


@dataclass
class Host:
    """A machine, whose process may be killed and restarted.

    :ivar address: where its process accepts requests.
    :ivar incarnation: number of its process; actions of earlier processes have no effect.
    :ivar seen: versions that took effect in this incarnation.
    :ivar newest_before: the newest version in earlier incarnations.
    :ivar verified: the verifications of its configuration.
    """

    node_id: str
    zone: str
    address: str = ""
    incarnation: int = 0
    is_up: bool = False
    is_frozen: bool = False
    reader: StoreReader | None = None
    lines: LogLines = field(default_factory=LogLines)
    seen: list[Seen] = field(default_factory=list)
    newest_before: int = 0
    verified: list["Verified"] = field(default_factory=list)
    running: list[Any] = field(default_factory=list)


class _RecordedFreshness(Freshness):
    """The product's freshness, which also records the verifications of its gateway."""

    def __init__(self, host: Host) -> None:
        super().__init__(None, DENIAL_S)
        self._host = host

    def note_proved(self, at_s: float) -> None:
        """Record a verification if it is newer."""
        before_s = self.age_s(now_s())
        super().note_proved(at_s)
        if self.age_s(now_s()) < before_s:
            self._host.verified.append(Verified(now_s(), at_s))


class Links:
    """Links of one process to the other machines."""

    def __init__(self, world: "FollowingWorld", host: Host) -> None:
        self._world = world
        self._host = host

    def get(self, address: str) -> "PeerLink":
        return PeerLink(self._world, self._host, self._world.host_at(address))


class PeerLink:
    def __init__(self, world: "FollowingWorld", sender: Host, reader: Host) -> None:
        self._world = world
        self._sender = sender
        self._reader = reader

    def post(self, request: Any, complete: Callable[[object | None], None]) -> int:
        eventlet.spawn_n(
            self._deliver,
            request,
            complete,
            self._reader.incarnation,
            self._sender.incarnation,
        )
        return 0

    def forget(self, number: int, is_late: bool) -> None:
        """Do nothing, since nothing is kept for a request."""

    def _deliver(
        self,
        request: Any,
        complete: Callable[[object | None], None],
        incarnation: int,
        sender_incarnation: int,
    ) -> None:
        if (self._sender.node_id, self._reader.node_id) in self._world.cuts:
            if not self._world.cuts_are_silent:
                eventlet.sleep(CONNECT_TIMEOUT_S)
                complete(None)
            return
        eventlet.sleep(DELAY_S)
        if not self._reader.is_up:
            complete(None)
            return
        while self._reader.is_frozen:
            eventlet.sleep(0.05)
        if self._reader.incarnation != incarnation or self._reader.reader is None:
            complete(None)
            return
        self._world.waiting.append((self._reader, incarnation, complete))

        def reply(found: object) -> None:
            eventlet.spawn_n(self._return_reply, found, complete, incarnation, sender_incarnation)

        self._reader.reader.ask(request, reply)

    def _return_reply(
        self,
        found: object,
        complete: Callable[[object | None], None],
        incarnation: int,
        sender_incarnation: int,
    ) -> None:
        eventlet.sleep(DELAY_S)
        while self._reader.is_frozen and self._reader.incarnation == incarnation:
            eventlet.sleep(0.05)
        is_cut = (self._sender.node_id, self._reader.node_id) in self._world.cuts
        if (
            not is_cut
            and self._reader.incarnation == incarnation
            and self._sender.incarnation == sender_incarnation
        ):
            complete(found)


class FollowingWorld:
    """Gateways and readers in zones, and the store that they follow."""

    def __init__(self, gateways: int = 8, zones: tuple[str, ...] = ("a", "b", "c")) -> None:
        self.store = StoreStandIn()
        self.hosts: dict[str, Host] = {}
        self.cuts: set[tuple[str, str]] = set()
        #: Whether requests over a cut link are lost; otherwise connecting fails.
        self.cuts_are_silent = False
        self.waiting: list[tuple[Host, int, Callable[[object | None], None]]] = []
        self.acknowledged: list[Seen] = []
        self._version = 0
        for zone in zones:
            self._add(Host(f"storage-{zone}-1", zone))
        for number in range(gateways):
            zone = zones[number % len(zones)]
            self._add(Host(f"edge-{zone}-{number // len(zones) + 1}", zone))

    def _add(self, host: Host) -> None:
        self.hosts[host.node_id] = host
        host.address = f"10.0.0.{len(self.hosts)}:1"

    def host_at(self, address: str) -> Host:
        """Return the machine at an address."""
        return next(host for host in self.hosts.values() if host.address == address)

    @property
    def gateways(self) -> list[Host]:
        """Return the machines that serve callers."""
        return [host for host in self.hosts.values() if host.node_id.startswith("edge")]

    @property
    def readers(self) -> list[Host]:
        """Return the machines that read the store for others."""
        return [host for host in self.hosts.values() if host.node_id.startswith("storage")]

    def publish(self) -> int:
        """Write and acknowledge the next configuration; the store must be available."""
        self._version += 1
        self.store.put(*CONFIG, {"version": self._version})
        self.acknowledged.append(Seen(now_s(), self._version))
        return self._version

    # Processes

    def start_all(self) -> None:
        """Start all machines; the readers register first."""
        for host in self.readers:
            member = Member(host.node_id, f"disk-{host.node_id}", host.address, host.zone)
            self.store.put(REPLICAS_KIND, host.node_id, member_spec(member))
        for host in self.hosts.values():
            self.start(host)

    def start(self, host: Host) -> None:
        """Start a machine's process."""
        host.incarnation += 1
        host.is_up = True
        direct = self._client(host)
        is_reader = host in self.readers
        host.reader = self._make_reader(host) if is_reader else None
        with patch.object(store_client, "LinkTable", lambda log, now: Links(self, host)):
            store = StoreClient(
                host.node_id,
                host.zone,
                direct,
                host.reader,
                (CONFIG.kind, RETIREMENTS),
                host.lines,  # type: ignore[arg-type]
                now_s,
            )
        self._connect(host, store)
        store.start()
        if is_reader:
            self._follow(host, store, GROUPS, LONG_WATCH_SECONDS)
            self._follow(host, store, REPLICAS_KIND, LONG_WATCH_SECONDS)
            self._follow(host, store, RETIREMENTS, WATCH_SECONDS)
            eventlet.spawn_n(self._maintain_reader, host, host.incarnation)
        else:
            self._start_gateway(host, store)

    def _connect(self, host: Host, store: StoreClient) -> None:
        """Connect a machine's store client to neighbours; does nothing in this class."""

    def _make_reader(self, host: Host) -> StoreReader:
        log: Any = host.lines
        return StoreReader(self._client(host), CONFIG, log, now_s)

    def _client(self, host: Host) -> PlatformStore:
        return _Client(self, host, host.incarnation)

    def _maintain_reader(self, host: Host, incarnation: int) -> None:
        while host.incarnation == incarnation and host.reader is not None:
            host.reader.stop_idle_kinds()
            eventlet.sleep(MAINTENANCE_S)

    def _start_gateway(self, host: Host, store: StoreClient) -> None:
        log: Any = host.lines
        incarnation = host.incarnation
        freshness = _RecordedFreshness(host)

        def take(item: StoredObject) -> None:
            if host.incarnation == incarnation:
                self._record_version(host, item.spec["version"])

        def take_all(items: list[StoredObject]) -> None:
            for item in items:
                take(item)

        config = KindFollower(
            store,
            CONFIG.kind,
            take_all,
            lambda change: take(change.item),
            log,
            on_verified=freshness.note_proved,
        )
        config.start()
        self._follow(host, store, SERVERS, LONG_WATCH_SECONDS)
        self._follow(host, store, GROUPS, LONG_WATCH_SECONDS)
        probe = FreshnessProbe(host.node_id, store, CONFIG, freshness, take, log, now_s)
        probe.start()

    def _record_version(self, host: Host, version: int) -> None:
        if not host.seen or host.seen[-1].version < version:
            host.seen.append(Seen(now_s(), version))

    def _follow(self, host: Host, store: StoreClient, kind: str, watch_s: float) -> None:
        log: Any = host.lines
        KindFollower(
            store,
            kind,
            lambda items: None,
            lambda change: None,
            log,
            watch_s=watch_s,
            allow_stale=True,
        ).start()

    def kill(self, host: Host) -> None:
        """Kill a machine's process."""
        host.incarnation += 1
        host.is_up = False
        host.reader = None
        host.newest_before = max([host.newest_before, *(seen.version for seen in host.seen)])
        host.seen = []
        for reader, incarnation, complete in self.waiting:
            if reader is host and incarnation == host.incarnation - 1:
                complete(None)
        self.waiting = [one for one in self.waiting if one[0] is not host]


class _Client(PlatformStore):
    """The product's client of one process, which stops working once that process has ended."""

    def __init__(self, world: FollowingWorld, host: Host, incarnation: int) -> None:
        super().__init__(host.node_id, now_s)
        self._world = world
        self._host = host
        self._incarnation = incarnation

    def _call(self, *args: Any, **kwargs: Any) -> Any:
        self._block_if_ended()
        try:
            return super()._call(*args, **kwargs)
        finally:
            self._block_if_ended()

    def _block_if_ended(self) -> None:
        while self._host.incarnation != self._incarnation:
            Event().wait()


@contextmanager
def connections_to(world: FollowingWorld) -> Iterator[None]:
    """Make the product's store client open stand-in connections."""

    def connect(address: str, timeout: float) -> StandInConnection:
        return StandInConnection(world.store, address, timeout)

    with patch.object(platform_store, "ServerConnection", connect):
        yield
