"""Runs one client of `yarrowwall node`, and prints what it takes of an answer.

A program of its own, since the standalone runtime patches the standard library.

Usage: ``python -m features.support.standalone_process lookup|watch IP:PORT``
"""

import sys

import yarrowwall.standalone.runtime  # noqa: F401  # patches the standard library first

# isort: split
import eventlet
from eventlet.event import Event

from yarrowwall.messages.entries import Priority
from yarrowwall.standalone.core.effects import SendLookup
from yarrowwall.standalone.core.events import LookupAnswered, LookupRequested, PlatformDocument
from yarrowwall.standalone.runtime.platform_client import PlatformClient, RecordsClient

ANSWER_SECONDS = 5.0


class _Node:
    """Takes the events that a client posts."""

    def __init__(self) -> None:
        self.posted = Event()

    def post(self, event: LookupAnswered | PlatformDocument) -> None:
        """Note the first event."""
        if not self.posted.ready():
            self.posted.send(event)


def main() -> None:
    """Run the client until its first event."""
    node = _Node()
    what, address = sys.argv[1:]
    if what == "lookup":
        request = LookupRequested("r", "kind", "key", Priority.ROUTINE, 0.0)
        RecordsClient(node).send(SendLookup(request, "server", address))
    else:
        PlatformClient(node, address).watch(True)
    with eventlet.Timeout(ANSWER_SECONDS):
        event = node.posted.wait()
    print(repr(event.body if what == "lookup" else event.document.name))


if __name__ == "__main__":
    main()
