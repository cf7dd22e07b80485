"""What a gateway follows in the platform's store: configuration, servers, groups of replicas."""

import time

from yarrowwall import decisions
from yarrowwall.decisions import DecisionLog
from yarrowwall.dispatch.server_list import ServerList
from yarrowwall.gateway.state import GatewayState
from yarrowwall.model import Configuration
from yarrowwall.policy.servers import ServerDirectory
from yarrowwall.ports.object_store import Change, ObjectName, StoredObject
from yarrowwall.ports.platform import Documents
from yarrowwall.replication.documents import GROUPS_KIND, read_groups
from yarrowwall.replication.group_views import GroupViews
from yarrowwall.watching.follower import LONG_WATCH_SECONDS, KindFollower
from yarrowwall.watching.freshness_probe import FreshnessProbe
from yarrowwall.watching.store_client import StoreClient


class GatewayFollowers:
    """Keeps a gateway's configuration, servers and groups up to date.

    :param gateway: gets each configuration, and is told once all was read.
    :param directory: gets the servers.
    :param views: gets the groups of replicas.
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
        freshness = gateway.components.freshness
        self._probe = FreshnessProbe(
            node_id,
            store,
            ObjectName(documents.configuration_kind, documents.configuration_name),
            freshness,
            self._take_configuration,
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
                self._configurations_listed,
                self._configuration_changed,
                log,
                self._note_read,
                on_verified=freshness.note_proved,
            ),
            KindFollower(
                store,
                documents.servers_kind,
                servers.apply_list,
                servers.apply_change,
                log,
                self._note_read,
                watch_s=LONG_WATCH_SECONDS,
                allow_stale=True,
            ),
            KindFollower(
                store,
                GROUPS_KIND,
                self._groups_listed,
                self._groups_changed,
                log,
                self._note_read,
                watch_s=LONG_WATCH_SECONDS,
                allow_stale=True,
            ),
        ]

    def start(self) -> None:
        """Begin to follow."""
        for follower in self._followers:
            follower.start()
        self._probe.start()

    @property
    def has_initial_state(self) -> bool:
        """Return whether configuration, servers and replicas were read."""
        has_listed = all(follower.has_listed for follower in self._followers)
        return has_listed and self._gateway.table is not None and self._views.common_group_count > 0

    def _note_read(self, revision: int) -> None:
        if self.has_initial_state:
            self._gateway.note_initial_load()

    # Configuration

    def _configurations_listed(self, items: list[StoredObject]) -> None:
        for item in items:
            self._take_configuration(item)

    def _configuration_changed(self, change: Change) -> None:
        if not change.is_gone:
            self._take_configuration(change.item)

    def _take_configuration(self, item: StoredObject) -> None:
        try:
            configuration = self._documents.configuration(item)
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            self._log.write(decisions.DependencyChanged("configuration", False, repr(error)))
            return
        if configuration is not None:
            self._put_in_force(configuration)

    def _put_in_force(self, configuration: Configuration) -> None:
        if self._gateway.apply_configuration(configuration):
            self._directory.update_services(configuration.services)

    # Groups of replicas

    def _groups_listed(self, items: list[StoredObject]) -> None:
        for item in items:
            self._take_groups(item)

    def _groups_changed(self, change: Change) -> None:
        if not change.is_gone:
            self._take_groups(change.item)

    def _take_groups(self, item: StoredObject) -> None:
        for view in read_groups(item) or ():
            self._views.update(view)
