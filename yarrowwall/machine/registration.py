"""Reports a machine with disks to the platform store: its registration and retirement."""

from collections.abc import Sequence

import eventlet

from yarrowwall import decisions
from yarrowwall.decisions import DecisionLog
from yarrowwall.messages.replicated import GroupView, Member
from yarrowwall.ports.object_store import (
    ConflictError,
    ObjectStore,
    ObjectStoreError,
    StoredObject,
)
from yarrowwall.ports.platform import Documents
from yarrowwall.replication.documents import REPLICAS_KIND, registration_spec
from yarrowwall.replication.peers import ReplicaPeers
from yarrowwall.replication.planner import is_released

#: Seconds between two attempts to register.
RETRY_SECONDS = 0.3


class Registration:
    """Registers this machine and its disks in the store, and reports its retirement.

    :param own: this machine with its disk for a common group.
    :param zone_disk_id: its disk for the zone's own group.
    :ivar retirements: the latest objects of machines that operators want to retire, by name.
    """

    def __init__(
        self,
        own: Member,
        zone_disk_id: str,
        store: ObjectStore,
        documents: Documents,
        peers: ReplicaPeers,
        log: DecisionLog,
    ) -> None:
        self._own = own
        self._zone_disk_id = zone_disk_id
        self._store = store
        self._documents = documents
        self._peers = peers
        self._log = log
        self._logged = ""
        self.retirements: dict[str, StoredObject] = {}

    def register(self) -> None:
        """Register this machine and its disks; retry until the store has accepted it."""
        spec = registration_spec(self._own, self._zone_disk_id)
        while True:
            try:
                self._store.create(REPLICAS_KIND, self._own.node_id, spec)
                return
            except ConflictError:
                if self._replace(spec):
                    return
            except ObjectStoreError as error:
                self._note_refused("registration not taken", error)
            eventlet.sleep(RETRY_SECONDS)

    def _replace(self, spec: dict) -> bool:
        """Replace a different registration; return whether the store holds this one now."""
        common = self._peers.registered.get(self._own.node_id)
        zone = self._peers.zone_disks.get(self._own.node_id)
        registered = registration_spec(common, zone.disk_id) if common and zone else None
        if registered == spec:
            return True
        try:
            self._store.replace(REPLICAS_KIND, self._own.node_id, spec, None)
        except ObjectStoreError as error:
            self._note_refused("registration not taken", error)
            return False
        return True

    def report_retirement(self, views: Sequence[GroupView]) -> None:
        """If this machine is to be retired, report whether a group still needs it.

        :param views: the newest views of all groups.
        """
        item = self.retirements.get(self._own.node_id)
        if item is None:
            return
        is_complete = is_released(views, self._own, self._zone_disk_id)
        status = self._documents.retirement_status(is_complete)
        if item.status == status:
            return
        try:
            self._store.set_status(self._documents.retirements_kind, item.name, status)
        except ObjectStoreError as error:
            self._note_refused("retirement not reported", error)
            return
        self.retirements[item.name] = StoredObject(item.name, item.revision, item.spec, status)
        change = "retired" if is_complete else "retiring"
        self._log.write(decisions.ProcessChanged(change, self._own.node_id))

    def _note_refused(self, change: str, error: ObjectStoreError) -> None:
        """Log why the store did not accept a change; repetitions of a reason are not logged."""
        text = f"{change}: {error}"
        if text != self._logged:
            self._logged = text
            self._log.write(decisions.ProcessChanged(change, str(error)))
