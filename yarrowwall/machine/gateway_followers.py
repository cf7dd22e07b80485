"""Followers of the platform store for a gateway: configuration, servers, replica groups."""

import time

from yarrowwall import decisions
from yarrowwall.decisions import DecisionLog
from yarrowwall.dispatch.server_list import ServerList
from yarrowwall.gateway.state import GatewayState
from yarrowwall.model import Configuration
from yarrowwall.policy.servers import ServerDirectory
from yarrowwall.ports.object_store import Change, ObjectName, StoredObject
from yarrowwall.ports.platform import Documents
from yarrowwall.replication.documents import GROUPS_KIND, GROUPS_NAME, read_groups
from yarrowwall.replication.group_views import GroupViews
from yarrowwall.watching.follower import LONG_WATCH_SECONDS, KindFollower
from yarrowwall.watching.freshness_probe import FreshnessProbe
from yarrowwall.watching.object_refusals import ObjectRefusals
from yarrowwall.watching.store_client import StoreClient


class GatewayFollowers:
    """Keeps a gateway's configuration, servers and groups up to date.

    :param gateway: receives each configuration, and is notified once everything has been read.
    :param directory: receives the servers.
    :param views: receives the replica groups.
    """

    def __init__(
        self,
        node_id: str,
        store: StoreClient,
        documents: Documents,
        gateway: GatewayState,
        directory: ServerDirectory,
        views: GroupViews,
        log: DecisionLog,
    ) -> None:
        self._documents = documents
        self._gateway = gateway
        self._directory = directory
        self._views = views
        self._log = log
        self._group_refusals = ObjectRefusals(GROUPS_KIND, log)
        freshness = gateway.components.freshness
        self._probe = FreshnessProbe(
            node_id,
            store,
            ObjectName(documents.configuration_kind, documents.configuration_name),
            freshness,
            self._on_configuration,
            log,
            time.monotonic,
        )
        servers = ServerList(
            documents, directory, lambda: gateway.router.services, log, time.monotonic
        )
        self._followers = [
            KindFollower(
                store,
                documents.configuration_kind,
                self._on_configurations_listed,
                self._on_configuration_changed,
                log,
                self._on_read,
                on_verified=freshness.note_proved,
            ),
            KindFollower(
                store,
                documents.servers_kind,
                servers.apply_list,
                servers.apply_change,
                log,
                self._on_read,
                watch_s=LONG_WATCH_SECONDS,
                allow_stale=True,
            ),
            KindFollower(
                store,
                GROUPS_KIND,
                self._on_groups_listed,
                self._on_groups_changed,
                log,
                self._on_read,
                watch_s=LONG_WATCH_SECONDS,
                allow_stale=True,
            ),
        ]

    def start(self) -> None:
        """Start following."""
        for follower in self._followers:
            follower.start()
        self._probe.start()

    @property
    def has_initial_state(self) -> bool:
        """Return whether configuration, servers and replica groups have been read."""
        has_listed = all(follower.has_listed for follower in self._followers)
        return has_listed and self._gateway.table is not None and self._views.common_group_count > 0

    def _on_read(self, revision: int) -> None:
        if self.has_initial_state:
            self._gateway.note_initial_load()

    # Configuration

    def _on_configurations_listed(self, items: list[StoredObject]) -> None:
        for item in items:
            self._on_configuration(item)

    def _on_configuration_changed(self, change: Change) -> None:
        if not change.is_gone:
            self._on_configuration(change.item)

    def _on_configuration(self, item: StoredObject) -> None:
        try:
            configuration = self._documents.configuration(item)
            if configuration is not None:
                self._apply_configuration(configuration)
        except Exception as error:
            # Whatever it holds, the configuration before it stays in force.
            reason = f"{self._documents.configuration_kind}/{item.name}: {error!r}"
            self._log.write(decisions.DependencyChanged("configuration", False, reason))

    def _apply_configuration(self, configuration: Configuration) -> None:
        if self._gateway.apply_configuration(configuration):
            self._directory.update_services(configuration.services)

    # Replica groups

    def _on_groups_listed(self, items: list[StoredObject]) -> None:
        for item in items:
            self._update_groups(item)

    def _on_groups_changed(self, change: Change) -> None:
        if not change.is_gone:
            self._update_groups(change.item)

    def _update_groups(self, item: StoredObject) -> None:
        views = read_groups(item)
        if views is None and item.name == GROUPS_NAME:
            self._group_refusals.note(item.name, "no views of groups")
        for view in views or ():
            self._views.update(view)
