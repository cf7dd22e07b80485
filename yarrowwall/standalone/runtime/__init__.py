"""The eventlet runtime of a node: connects the core to sockets, disk and clock.

Importing this package monkey-patches the standard library for eventlet, so import it
before any module that opens a socket.
"""

from yarrowwall.eventlet_setup import patch_all

patch_all()
