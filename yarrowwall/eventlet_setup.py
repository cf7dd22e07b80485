"""The one place that imports eventlet first and patches the standard library for it.

Call :func:`patch_all` or :func:`patch_sockets` before anything else that opens a socket.
"""

import os
import warnings
from types import ModuleType

#: Threads that run what would block the process: a disk is written by one at a time.
_POOL_THREADS = "2"


def _import_eventlet() -> ModuleType:
    # Addresses are numeric everywhere, so the resolver (216 modules, a quarter of a
    # process's start and 7 MB) is never asked.
    os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
    os.environ.setdefault("EVENTLET_THREADPOOL_SIZE", _POOL_THREADS)
    # The docs name the risk that eventlet is in maintenance only; every start need not.
    with warnings.catch_warnings():
        warnings.simplefilter("ignore")
        import eventlet
    return eventlet


def patch_all() -> None:
    """Patch everything that eventlet can, for programs whose libraries use threads."""
    _import_eventlet().monkey_patch()


def patch_sockets() -> None:
    """Patch sockets and clocks only, for processes that must start fast.

    Patching threads walks through all objects of the process to find locks, which takes
    longer than all else here. A process with one native thread never waits for a lock.
    """
    _import_eventlet().monkey_patch(socket=True, select=True, time=True)
