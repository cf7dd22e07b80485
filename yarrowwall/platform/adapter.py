"""Construction of the platform adapter."""

from yarrowwall.machine.settings import MachineSettings
from yarrowwall.platform import names
from yarrowwall.platform.callers import PlatformCallers
from yarrowwall.platform.documents import PlatformDocuments
from yarrowwall.platform.servers import PlatformServers
from yarrowwall.platform.store import PlatformStore
from yarrowwall.ports.platform import Adapter


def make_adapter(settings: MachineSettings) -> Adapter:
    """Return the platform adapter of a node."""
    return Adapter(
        PlatformCallers(),
        PlatformServers(),
        PlatformDocuments(),
        lambda: PlatformStore(settings.platform_address),
        names.READINESS_PATH,
    )
