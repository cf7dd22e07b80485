"""Three zones of machines as processes, one of which can be cut off from the others."""

import json
import sys
from typing import Any

from features.soak.proxy import Mode, Proxy
from features.support.platform_world import ObjectStore, PlatformWorld
from yarrowwall.replication.views import is_zone_group

ZONES = ("zone-a", "zone-b", "zone-c")
#: The one that is cut off from the others.
CUT_ZONE = ZONES[0]
STORAGE_MACHINES = 6
#: Status of a call that did nothing.
BUSY = 503


class PatientStore(ObjectStore):
    """A store that takes the first groups only once all storage machines are in zones' groups.

    They are made of whoever has registered by then, and on a busy machine some start late.
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
    """Stand-ins and machines in zones: a gateway and two storage machines in each."""

    def __init__(self) -> None:
        #: Proxies by the zone that a link begins in and the machine that it ends at.
        self._proxies: dict[tuple[str, str], Proxy] = {}
        super().__init__(len(ZONES), STORAGE_MACHINES, ZONES)

    def make_store(self) -> ObjectStore:
        """Return the platform's store."""
        return PatientStore()

    def start_machine(
        self, name: str, is_gateway: bool, is_first: bool = False, output: int | None = None
    ) -> None:
        """Start a machine; those of other zones reach it over proxies, gateways included.

        Gateways go through one another where the replicas are out of reach, so a cut that left
        the ways between them would be none.
        """
        for zone in ZONES:
            path = self.folder / f"{zone}.json"
            if not path.exists():
                path.write_text("{}")
        super().start_machine(name, is_gateway, is_first, output)
        # Only links that the cut zone begins or ends: each costs a thread that looks often.
        for zone in ZONES:
            if zone != self.zone_of(name) and CUT_ZONE in (zone, self.zone_of(name)):
                self._make_way(zone, name)

    def _make_way(self, zone: str, name: str) -> None:
        address = self.addresses[name]["peer"]
        if (zone, name) not in self._proxies:
            self._proxies[(zone, name)] = Proxy(lambda: address)
        ways = {
            self.addresses[other]["peer"]: proxy.address
            for (begins_in, other), proxy in self._proxies.items()
            if begins_in == zone
        }
        path = self.folder / f"{zone}.json"
        new = path.with_suffix(".new")
        new.write_text(json.dumps(ways))
        new.rename(path)

    def command(self, name: str) -> list[str]:
        """Return the command that runs a machine."""
        ways = str(self.folder / f"{self.zone_of(name)}.json")
        return [sys.executable, "-m", "features.support.zoned_machine", ways]

    def set_cut(self, is_cut: bool) -> None:
        """Let all links between one zone and the others fall silent, or pass again."""
        for proxy in self._proxies.values():
            proxy.mode = Mode.SILENT if is_cut else Mode.PASS

    def stop(self) -> None:
        """End everything."""
        super().stop()
        for proxy in self._proxies.values():
            proxy.close()


class TwoLossesWorld(ZonedWorld):
    """Zones that keep no turns: two machines may be lost, and each zone has but two."""

    machines_lost_at_once = 2
