"""The eventlet driver of a node: sockets, disk and clock around the core.

Importing this package patches the standard library for eventlet, so import it
before anything that opens a socket.
"""

from yarrowwall.eventlet_setup import patch_all

patch_all()
