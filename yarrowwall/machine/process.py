"""The process of a machine, with the gateway role, the replica role or both."""

import signal
import time
from http import HTTPStatus
from pathlib import Path
from typing import Protocol

import eventlet
from eventlet.event import Event

from yarrowwall import decisions
from yarrowwall.decisions import DecisionLog
from yarrowwall.exceptions import SettingsError
from yarrowwall.listening import ResilientListener
from yarrowwall.machine.gateway_role import GatewayRole
from yarrowwall.machine.listeners import EarlyListeners
from yarrowwall.machine.probes import NOT_FOUND, ProbeAnswer, serve_probes
from yarrowwall.machine.replica_role import ReplicaRole
from yarrowwall.machine.settings import MachineSettings, load_machine_settings
from yarrowwall.metrics import MachineMetrics
from yarrowwall.ports.object_store import ObjectName
from yarrowwall.ports.platform import Adapter
from yarrowwall.watching.reader import StoreReader
from yarrowwall.watching.store_client import StoreClient

#: Seconds between checks of the settings file, which may change without a signal.
SETTINGS_CHECK_SECONDS = 2.0
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_SIGNALS = (*_STOP_SIGNALS, signal.SIGHUP)
_METRICS_PATH = "/metrics"
_METRICS_TYPE = "text/plain; version=0.0.4"


class Role(Protocol):
    """A role of a machine."""

    def start(self) -> None:
        """Start working."""

    def stop(self, ends_at: float) -> None:
        """Finish running work and return before a time of the monotonic clock."""

    def update_metrics(self, metrics: MachineMetrics) -> None:
        """Set the metrics that are computed on each scrape."""


class Machine:
    """The process of a machine.

    :param listeners: listening sockets that were opened before.
    :param path: the settings file, which is checked for changes while the process runs.
    """

    def __init__(
        self,
        settings: MachineSettings,
        adapter: Adapter,
        listeners: EarlyListeners,
        path: Path,
    ) -> None:
        self._settings = settings
        self._path = path
        self._listeners = listeners
        self._metrics = MachineMetrics()
        self._log = DecisionLog(settings.node_id, count=self._metrics.count)
        self._stopped = Event()
        self._is_stopping = False
        reader = self._make_reader(adapter) if settings.replica is not None else None
        self._store = self._make_store(adapter, reader)
        self._roles: list[Role] = []
        if settings.gateway is not None:
            self._roles.append(
                GatewayRole(settings, settings.gateway, adapter, self._store, listeners, self._log)
            )
        if settings.replica is not None and reader is not None:
            self._roles.append(
                ReplicaRole(
                    settings,
                    settings.replica,
                    adapter.documents,
                    self._store,
                    reader,
                    listeners,
                    self._log,
                )
            )

    def _make_reader(self, adapter: Adapter) -> StoreReader:
        """Return the reader of the store for other machines and this one."""
        documents = adapter.documents
        return StoreReader(
            adapter.make_store(),
            ObjectName(documents.configuration_kind, documents.configuration_name),
            self._log,
            time.monotonic,
            # A draining server may get no request once its bound is over.
            urgent_kinds=(documents.servers_kind,),
        )

    def _make_store(self, adapter: Adapter, reader: StoreReader | None) -> StoreClient:
        """Return the client of the store that the roles of this machine use."""
        documents = adapter.documents
        return StoreClient(
            self._settings.node_id,
            self._settings.zone,
            adapter.make_store(),
            reader,
            (documents.configuration_kind, documents.retirements_kind),
            self._log,
            time.monotonic,
        )

    def start(self) -> None:
        """Start working."""
        for number in _STOP_SIGNALS:
            signal.signal(number, lambda *_: eventlet.spawn_n(self.stop))
        signal.signal(signal.SIGHUP, lambda *_: eventlet.spawn_n(self.reload))
        signal.signal(signal.SIGPIPE, signal.SIG_IGN)
        self._store.start()
        for role in self._roles:
            role.start()
        eventlet.spawn_n(self._watch_settings)
        eventlet.spawn_n(self._serve_metrics)
        self._log.write(decisions.ProcessChanged("started", self._settings.zone))

    def _serve_metrics(self) -> None:
        listener = self._listeners.take(self._settings.metrics_address)
        serve_probes(ResilientListener(listener, self._log), self._answer_metrics, self._log)

    def _answer_metrics(self, path: str) -> ProbeAnswer:
        if path != _METRICS_PATH:
            return NOT_FOUND
        return ProbeAnswer(HTTPStatus.OK, self._render_metrics(), _METRICS_TYPE)

    def _render_metrics(self) -> bytes:
        for role in self._roles:
            role.update_metrics(self._metrics)
        return self._metrics.render(self._log.dropped)

    def stop(self) -> None:
        """Finish running work and end the process."""
        if self._is_stopping:
            return
        self._is_stopping = True
        began_at = time.monotonic()
        self._log.write(decisions.ProcessChanged("stopping", ""))
        # The settings may have changed without a signal.
        self.reload()
        for role in self._roles:
            role.stop(began_at + self._settings.bounds.stop)
        self._stopped.send(0)

    def reload(self) -> None:
        """Read the settings file again; if it has faults, log them and keep the old settings."""
        try:
            settings = load_machine_settings(self._path)
        except SettingsError as error:
            self._log.write(decisions.ProcessChanged("settings refused", str(error)))
            return
        if settings != self._settings:
            self._settings = settings
            self._log.write(decisions.ProcessChanged("settings reloaded", ""))

    def _watch_settings(self) -> None:
        # The first check always reads the file, which may have changed during startup.
        modified = None
        while True:
            eventlet.sleep(SETTINGS_CHECK_SECONDS)
            found = self._modification_time()
            if found != modified:
                modified = found
                self.reload()

    def _modification_time(self) -> float:
        try:
            return self._path.stat().st_mtime
        except OSError:
            return 0.0

    def wait(self) -> int:
        """Wait until the process has stopped.

        :returns: its exit code.
        """
        code: int = self._stopped.wait()
        # At its end the interpreter restores default actions, and a signal would kill it.
        for number in _SIGNALS:
            signal.signal(number, signal.SIG_IGN)
        self._log.write(decisions.ProcessChanged("stopped", ""))
        return code


def run_machine(
    settings: MachineSettings, adapter: Adapter, listeners: EarlyListeners, path: Path
) -> int:
    """Run the process of a machine until it is asked to stop.

    :returns: the process's exit code.
    """
    machine = Machine(settings, adapter, listeners, path)
    machine.start()
    return machine.wait()
