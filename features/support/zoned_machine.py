"""Runs a machine of the platform whose links to other zones can be cut.

The argument names a file that maps the addresses of machines in other zones to those of proxies.
"""

import json
import sys
from pathlib import Path

from yarrowwall import eventlet_setup
from yarrowwall.platform.__main__ import main

_patch_sockets = eventlet_setup.patch_sockets


def _patch_sockets_and_links() -> None:
    _patch_sockets()
    from yarrowwall.replication import rpc

    open_directly = rpc.open_socket

    def open_socket(address: str, timeout: float):
        addresses = json.loads(Path(sys.argv[1]).read_text())
        return open_directly(addresses.get(address, address), timeout)

    rpc.open_socket = open_socket


if __name__ == "__main__":
    eventlet_setup.patch_sockets = _patch_sockets_and_links
    sys.exit(main())
