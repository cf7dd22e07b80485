"""Runs a node on the platform: ``python3 -m yarrowwall.platform``.

The platform fills ``deploy/node.toml`` and names the result in an environment variable.
"""

import yarrowwall.runtime  # noqa: F401  isort: skip  (patches the standard library first)

import os
import sys
from pathlib import Path

from yarrowwall.exceptions import SettingsError
from yarrowwall.platform import names
from yarrowwall.platform.callers import PlatformCallers
from yarrowwall.platform.documents import PlatformDocuments
from yarrowwall.platform.servers import PlatformServers
from yarrowwall.platform.store import PlatformStore
from yarrowwall.relay.service import EXIT_BAD_SETTINGS, Adapter, run_machine
from yarrowwall.relay.settings import MachineSettings
from yarrowwall.settings import load_settings


def adapter(settings: MachineSettings) -> Adapter:
    """Return the platform's side of a node."""
    return Adapter(
        PlatformCallers(),
        PlatformServers(),
        PlatformDocuments(),
        PlatformStore(settings.platform_address),
        names.READINESS_PATH,
    )


def main() -> int:
    """Run the node of this machine.

    :returns: the process's exit code.
    """
    path = Path(os.environ.get(names.SETTINGS_VARIABLE, ""))
    try:
        settings = load_settings(path, MachineSettings)
    except SettingsError as error:
        for fault in error.faults:
            print(fault, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    return run_machine(settings, adapter(settings), path)


if __name__ == "__main__":
    sys.exit(main())
