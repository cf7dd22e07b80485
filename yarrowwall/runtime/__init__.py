"""The eventlet driver of a node: sockets, disk and clock around the core.

Importing this package patches the standard library for eventlet, so import it
before anything that opens a socket.
"""

import warnings

# The docs name the risk that eventlet is in maintenance only; every start need not.
with warnings.catch_warnings():
    warnings.simplefilter("ignore")
    import eventlet

eventlet.monkey_patch()
