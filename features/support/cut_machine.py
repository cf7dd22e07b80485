"""Runs a machine that can be partitioned: frames to and from the addresses in a file are lost.

This replaces the command ``python3 -m yarrowwall.platform``. The file is next to the settings, with
the suffix ``.cut``.
"""

import os
import sys
from pathlib import Path
from typing import Any

import eventlet

from yarrowwall import eventlet_setup
from yarrowwall.platform import __main__ as platform_main
from yarrowwall.platform import names

_CUT_FILE = Path(os.environ[names.SETTINGS_VARIABLE]).with_suffix(".cut")
_patch_sockets = eventlet_setup.patch_sockets


def _is_cut(address: str) -> bool:
    return _CUT_FILE.exists() and address in _CUT_FILE.read_text().split()


def _patch() -> None:
    """Let links lose frames silently, so that the machine only sees missing answers."""
    _patch_sockets()
    from yarrowwall.exceptions import ConnectTimeoutError
    from yarrowwall.replication import rpc

    open_socket = rpc.open_socket
    send = rpc.FrameChannel.send
    handle_frames = rpc.FrameChannel._handle_frames

    def open_or_time_out(address: str, timeout: float) -> Any:
        if _is_cut(address):
            eventlet.sleep(timeout)
            raise ConnectTimeoutError(address)
        return open_socket(address, timeout)

    def is_peer_cut(channel: Any) -> bool:
        try:
            host, port = channel._connection.getpeername()
        except OSError:
            # The connection has ended.
            return True
        return _is_cut(f"{host}:{port}")

    def send_or_lose(self: Any, number: int, message: object) -> None:
        if not is_peer_cut(self):
            send(self, number, message)

    def handle_or_lose(self: Any, buffer: bytearray) -> None:
        if is_peer_cut(self):
            buffer.clear()
        else:
            handle_frames(self, buffer)

    rpc.open_socket = open_or_time_out
    rpc.FrameChannel.send = send_or_lose  # type: ignore[method-assign]
    rpc.FrameChannel._handle_frames = handle_or_lose  # type: ignore[method-assign]


if __name__ == "__main__":
    eventlet_setup.patch_sockets = _patch
    sys.exit(platform_main.main())
