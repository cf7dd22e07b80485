"""The simulated platform with gateways that can be partitioned from replicas."""

import sys

from features.support.platform_world import PlatformWorld


class CutWorld(PlatformWorld):
    """Machines whose gateways can lose the frames that they send to some addresses."""

    def __init__(self, gateways: int = 3) -> None:
        super().__init__(gateways=gateways)

    def command(self, name: str) -> list[str]:
        """Return the command that runs a machine."""
        if name.startswith("edge"):
            return [sys.executable, "-W", "ignore", "-m", "features.support.cut_machine"]
        return super().command(name)

    def cut_off(self, gateway: int) -> None:
        """Partition a gateway from all replicas."""
        addresses = [
            own["peer"] for name, own in self.addresses.items() if name.startswith("storage")
        ]
        (self.folder / f"edge-{gateway}.cut").write_text("\n".join(addresses))

    def heal(self, gateway: int) -> None:
        """End the partition of a gateway."""
        (self.folder / f"edge-{gateway}.cut").unlink()
