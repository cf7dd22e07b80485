"""A small cluster in one process on loopback, for the demo and for benchmarks."""

import socket
from dataclasses import dataclass
from pathlib import Path

import eventlet

from yarrowwall.standalone.models.engine import EngineParameters
from yarrowwall.standalone.runtime.service import NodeService, listen
from yarrowwall.standalone.settings import NodeFileSettings, PeerSettings, ReplicaSettings
from yarrowwall.standalone.standins.engine import EngineStandIn
from yarrowwall.standalone.standins.platform import MACHINES_OBJECT, PlatformStandIn
from yarrowwall.standalone.standins.records import RecordsStandIn, ToolStandIn
from yarrowwall.storage import identity

LOOPBACK = "127.0.0.1:0"
ZONES = ("zone-a", "zone-b", "zone-c")
READY_SECONDS = 10.0


def bound_address(listener: socket.socket) -> str:
    """Return the ``IP:port`` of a listening socket."""
    host, port = listener.getsockname()[:2]
    return f"{host}:{port}"


@dataclass
class _Listeners:
    peer: socket.socket
    http: socket.socket


class LocalCluster:
    """Three nodes with journals, a platform, engines, record servers and a tool service.

    :param folder: Parent of the nodes' data folders.
    :param engine_speed: Speed of the engines' clocks relative to real time.
    """

    def __init__(self, folder: Path, models: tuple[str, ...], engine_speed: float) -> None:
        self.platform = PlatformStandIn(listen(LOOPBACK))
        parameters = EngineParameters()
        self.engines = [
            EngineStandIn(listen(LOOPBACK), models, parameters, engine_speed) for _ in ZONES
        ]
        self.records = [RecordsStandIn(listen(LOOPBACK)) for _ in ZONES[:2]]
        self.tool = ToolStandIn(listen(LOOPBACK))
        self._publish_machines()
        self.nodes = self._start_nodes(folder)

    def _publish_machines(self) -> None:
        machines = []
        servers = [("engine", stand_in) for stand_in in self.engines]
        servers += [("records", stand_in) for stand_in in self.records]  # type: ignore[misc]
        for number, (kind, stand_in) in enumerate(servers):
            machines.append(
                {
                    "machine_id": f"{kind}-{number}",
                    "kind": kind,
                    "zone": ZONES[number % len(ZONES)],
                    "address": stand_in.server.address,
                }
            )
        self.platform.set_object(MACHINES_OBJECT, {"machines": machines})

    def _start_nodes(self, folder: Path) -> list[NodeService]:
        listeners = [_Listeners(listen(LOOPBACK), listen(LOOPBACK)) for _ in ZONES]
        peers = [
            PeerSettings(node_id=f"node-{zone}", zone=zone, address=bound_address(pair.peer))
            for zone, pair in zip(ZONES, listeners, strict=True)
        ]
        replicas = [
            ReplicaSettings(replica_id=f"replica-{zone}", node_id=f"node-{zone}", zone=zone)
            for zone in ZONES
        ]
        nodes = []
        for peer, pair in zip(peers, listeners, strict=True):
            data_folder = folder / peer.node_id
            identity.initialise(data_folder, f"replica-{peer.zone}")
            settings = NodeFileSettings(
                node_id=peer.node_id,
                zone=peer.zone,
                peer_address=peer.address,
                http_address=bound_address(pair.http),
                platform_address=self.platform.server.address,
                data_folder=data_folder,
                peers=peers,
                replicas=replicas,
            )
            nodes.append(NodeService(settings, pair.peer, pair.http))
        return nodes

    def start(self) -> None:
        """Start the nodes and wait until they have a load report of every engine.

        :raises TimeoutError: If a node isn't ready in time.
        """
        for node in self.nodes:
            node.start()
        with eventlet.Timeout(READY_SECONDS, TimeoutError("the nodes are not ready in time")):
            while not all(self._is_ready(node) for node in self.nodes):
                eventlet.sleep(0.02)

    @staticmethod
    def _is_ready(node: NodeService) -> bool:
        engines = node.core.scheduler.engines().values()
        return node.core.is_ready() and bool(engines) and all(view.report for view in engines)

    def url(self, number: int) -> str:
        """Return the base URL of a node's HTTP API."""
        return f"http://{self.nodes[number].settings.http_address}"
