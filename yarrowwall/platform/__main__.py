"""Runs a node on the platform: ``python3 -m yarrowwall.platform``.

The platform fills ``deploy/node.toml`` and names the result in an environment variable.
"""

import os
import signal
import sys
from pathlib import Path

from yarrowwall.exceptions import SettingsError
from yarrowwall.machine.listeners import EarlyListeners
from yarrowwall.machine.settings import MachineSettings, load_machine_settings
from yarrowwall.platform import names
from yarrowwall.settings_file import EXIT_BAD_SETTINGS


def main() -> int:
    """Run the node of this machine.

    :returns: the process's exit code.
    """
    # Until the machine takes it, its default effect would end the process. What changed in the
    # settings file by then is found by the first look at it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    path = Path(os.environ.get(names.SETTINGS_VARIABLE, ""))
    try:
        settings = load_machine_settings(path)
    except SettingsError as error:
        for fault in error.faults:
            print(fault, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    with EarlyListeners(settings.listen_addresses) as listeners:
        return _run(settings, listeners, path)


def _run(settings: MachineSettings, listeners: EarlyListeners, path: Path) -> int:
    # Imported only now, for callers already wait at the listeners.
    from yarrowwall.eventlet_setup import patch_sockets

    patch_sockets()

    from yarrowwall.machine.process import run_machine
    from yarrowwall.platform.adapter import make_adapter

    return run_machine(settings, make_adapter(settings), listeners, path)


if __name__ == "__main__":
    sys.exit(main())
