"""Runs a node on the platform: ``python3 -m yarrowwall.platform``.

The platform fills in ``deploy/node.toml`` and passes its path in an environment variable.
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
    # SIGHUP would end the process until the machine installs its handler. Settings that change
    # by then are found when the settings file is first checked.
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
    # Imported after the listeners are open, so that callers can already connect.
    from yarrowwall.eventlet_setup import patch_sockets

    patch_sockets()

    from yarrowwall.machine.process import run_machine
    from yarrowwall.platform.adapter import make_adapter

    return run_machine(settings, make_adapter(settings), listeners, path)


if __name__ == "__main__":
    sys.exit(main())
