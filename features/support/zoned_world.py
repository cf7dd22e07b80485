"""Machines in three zones as processes, of which one zone can be cut off from the others."""

import json
import sys
from typing import Any

from features.soak.proxy import Mode, Proxy
from features.support.platform_world import ObjectStore, PlatformWorld
from yarrowwall.replication.views import is_zone_group

ZONES = ("zone-a", "zone-b", "zone-c")
#: The zone that is cut off from the others.
CUT_ZONE = ZONES[0]
STORAGE_MACHINES = 6
#: HTTP status of a call without effect.
BUSY = 503


class PatientStore(ObjectStore):
    """A store that accepts the first groups only if all storage machines are in zone groups.

    The first groups consist of the machines that have registered by then, and on a busy machine
    some start late.
    """

    def __init__(self, machines: int = STORAGE_MACHINES) -> None:
        super().__init__()
        self._machines = machines

    def _write(
        self, method: str, names: list[str], body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        if method == "POST" and names[0] == "yarrowwall-groups":
            members = [
                member["node_id"]
                for view in body["spec"]["groups"]
                if is_zone_group(view["group"])
                for member in view["members"]
            ]
            if len(members) < self._machines:
                return BUSY, {}
        return super()._write(method, names, body)


class ZonedWorld(PlatformWorld):
    """Three zones with a gateway and two storage machines each, and fakes of the platform."""

    def __init__(self) -> None:
        #: Proxies by the zone in which a link begins and the machine at which it ends.
        self._proxies: dict[tuple[str, str], Proxy] = {}
        super().__init__(len(ZONES), STORAGE_MACHINES, ZONES)

    def make_store(self) -> ObjectStore:
        """Return the platform's store."""
        return PatientStore()

    def start_machine(
        self, name: str, is_gateway: bool, is_first: bool = False, output: int | None = None
    ) -> None:
        """Start a machine; all machines of other zones reach it through proxies, also gateways.

        Gateways forward requests for each other when replicas are unreachable, so a cut must
        include the links between gateways.
        """
        for zone in ZONES:
            path = self.folder / f"{zone}.json"
            if not path.exists():
                path.write_text("{}")
        super().start_machine(name, is_gateway, is_first, output)
        # Only links from and to the zone that can be cut off: each proxy costs a polling thread.
        for zone in ZONES:
            if zone != self.zone_of(name) and CUT_ZONE in (zone, self.zone_of(name)):
                self._route_through_proxy(zone, name)

    def _route_through_proxy(self, zone: str, name: str) -> None:
        address = self.addresses[name]["peer"]
        if (zone, name) not in self._proxies:
            self._proxies[(zone, name)] = Proxy(lambda: address)
        addresses = {
            self.addresses[other]["peer"]: proxy.address
            for (begins_in, other), proxy in self._proxies.items()
            if begins_in == zone
        }
        path = self.folder / f"{zone}.json"
        new = path.with_suffix(".new")
        new.write_text(json.dumps(addresses))
        new.rename(path)

    def command(self, name: str) -> list[str]:
        """Return the command that runs a machine."""
        addresses_file = str(self.folder / f"{self.zone_of(name)}.json")
        return [sys.executable, "-m", "features.support.zoned_machine", addresses_file]

    def set_cut(self, is_cut: bool) -> None:
        """Silence all links between the zone and the others, or restore them."""
        for proxy in self._proxies.values():
            proxy.mode = Mode.SILENT if is_cut else Mode.PASS

    def stop(self) -> None:
        """End everything."""
        super().stop()
        for proxy in self._proxies.values():
            proxy.close()


class TwoLossesWorld(ZonedWorld):
    """Zones that store no turns: two machines may be lost at once, and each zone has only two."""

    machines_lost_at_once = 2
