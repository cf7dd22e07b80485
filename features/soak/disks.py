"""Disks that are lost, one at a time, and copied anew."""

import shutil
import threading
import time
from typing import Any, NamedTuple

from features.soak.disruptions import Disruptions
from features.soak.world import SoakWorld

#: Seconds that a wiped replica has to be in its group again.
REJOIN_S = 25.0
_LOOK_S = 0.1


class Loss(NamedTuple):
    """A disk that was lost.

    :param disks: by which the replica's groups knew it; none if it was of no group.
    :param members: of all groups before.
    :param copies: that had been made of disks before.
    """

    name: str
    disks: set[str]
    members: int
    copies: int


class Disks:
    """The replicas' disks.

    :ivar lock: held from the loss of a disk until it is copied: the next loss waits for that.
    """

    def __init__(self, world: SoakWorld, disruptions: Disruptions) -> None:
        self._world = world
        self._disruptions = disruptions
        self.lock = threading.Lock()

    def lose(self, name: str) -> Loss:
        """Lose the disk of a replica that is down."""
        views = self._views()
        known = [member for view in views for member in [*view["members"], *view["joining"]]]
        disks = {member["disk_id"] for member in known if member["node_id"] == name}
        members = sum(len(view["members"]) for view in views)
        shutil.rmtree(self._world.disk(name), ignore_errors=True)
        return Loss(name, disks, members, self._copies())

    def wait_copied(self, loss: Loss, fault: int) -> None:
        """Wait until other disks are in the place of a lost one; raise AssertionError if not.

        :param fault: number of the loss; the time counts while no other fault goes on.
        """
        end = time.monotonic() + REJOIN_S
        while loss.disks and not self._is_copied(loss):
            if self._disruptions.is_disrupted_besides(fault):
                end = time.monotonic() + REJOIN_S
            if time.monotonic() > end:
                raise AssertionError(f"{loss.name} was wiped and its group is not whole again")
            time.sleep(_LOOK_S)

    def _is_copied(self, loss: Loss) -> bool:
        views = self._views()
        members = {member["disk_id"] for view in views for member in view["members"]}
        is_whole = len(members) >= loss.members and not any(view["joining"] for view in views)
        return is_whole and not members & loss.disks and self._copies() > loss.copies

    def _views(self) -> list[dict[str, Any]]:
        groups = self._world.store.get("yarrowwall-groups", "all")
        return groups["spec"]["groups"] if groups is not None else []

    def _copies(self) -> int:
        """Return how often replicas were copied to."""
        return sum(
            line["kind"] == "ReplicaSynchronised"
            for name in self._world.replicas
            for line in self._world.log(name)
        )
