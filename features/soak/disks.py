"""Disks that are lost, one at a time, and copied anew."""

import shutil
import threading
import time

from features.soak.disruptions import Disruptions
from features.soak.world import SoakWorld

#: Seconds that a wiped replica has to be in its group again.
REJOIN_S = 25.0
_LOOK_S = 0.1


class Disks:
    """The replicas' disks.

    :ivar lock: held from the loss of a disk until it is copied: the next loss waits for that.
    """

    def __init__(self, world: SoakWorld, disruptions: Disruptions) -> None:
        self._world = world
        self._disruptions = disruptions
        self.lock = threading.Lock()

    def lose(self, name: str) -> None:
        """Lose the disk of a replica that is down."""
        shutil.rmtree(self._world.disk(name), ignore_errors=True)

    def copies(self, name: str) -> int:
        """Return how often a replica was copied to."""
        return sum(line["kind"] == "ReplicaSynchronised" for line in self._world.log(name))

    def wait_copied(self, name: str, before: int, fault: int) -> None:
        """Wait until a replica is in its group again; raise AssertionError if it is not.

        :param before: how often it had been copied to before.
        :param fault: number of the loss; the time counts while no other fault goes on.
        """
        end = time.monotonic() + REJOIN_S
        while self.copies(name) == before or self._is_changing():
            if self._disruptions.is_disrupted_besides(fault):
                end = time.monotonic() + REJOIN_S
            if time.monotonic() > end:
                raise AssertionError(f"{name} was wiped and is not in its group again")
            time.sleep(_LOOK_S)

    def _is_changing(self) -> bool:
        groups = self._world.store.get("yarrowwall-groups", "all")
        return groups is None or any(view["joining"] for view in groups["spec"]["groups"])
