"""The only module that imports eventlet first and monkey-patches the standard library with it.

Call :func:`patch_all` or :func:`patch_sockets` before anything opens a socket.
"""

import os
import warnings
from types import ModuleType

#: Threads for blocking calls. Each disk is written to by one thread at a time.
_POOL_THREADS = "2"


def _import_eventlet() -> ModuleType:
    # All addresses are numeric, so the DNS resolver is never used. Loading it would import 216
    # modules, take a quarter of the startup time and 7 MB of memory.
    os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
    os.environ.setdefault("EVENTLET_THREADPOOL_SIZE", _POOL_THREADS)
    # Suppresses the warning at each start that eventlet is in maintenance mode; the documentation
    # covers that risk.
    with warnings.catch_warnings():
        warnings.simplefilter("ignore")
        import eventlet
    return eventlet


def patch_all() -> None:
    """Patch everything that eventlet can patch, for programs whose libraries use threads."""
    _import_eventlet().monkey_patch()


def patch_sockets() -> None:
    """Patch only sockets, select and time, for processes that must start fast.

    Patching threads searches all objects of the process for locks, which takes longer than
    everything else here. A process with a single native thread never waits for a lock.
    """
    _import_eventlet().monkey_patch(socket=True, select=True, time=True)
