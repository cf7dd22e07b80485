"""Finds the only software that a service runs, by the store's list of servers of that moment.

The followed list may be old: a process that stood still, or was cut off, learns only later that it
has missed changes.
"""

from collections.abc import Callable

import eventlet
from eventlet.event import Event

from yarrowwall.exceptions import StoreUncertainError, UnusableEntryError
from yarrowwall.model import Server
from yarrowwall.policy.servers import ServerDirectory
from yarrowwall.ports.object_store import Listing, ObjectStoreError, StoredObject
from yarrowwall.ports.platform import Documents

#: Timeout of a read in seconds; a caller waits for it.
TIMEOUT_SECONDS = 0.5
#: Seconds between two reads, which callers may cause as often as they like.
PAUSE_SECONDS = 0.1


class SoleSoftware:
    """Finds the only software of a service; callers of about the same time share a read.

    :param list_now: returns all objects of a kind as the store has them now, within a timeout in
        seconds; raises ObjectStoreError.
    :param directory: the servers of the followed list.
    :param now: the monotonic clock.
    """

    def __init__(
        self,
        list_now: Callable[[str, float], Listing],
        documents: Documents,
        directory: ServerDirectory,
        now: Callable[[], float],
    ) -> None:
        self._list_now = list_now
        self._documents = documents
        self._directory = directory
        self._now = now
        self._next_read: Event | None = None
        self._read_at = float("-inf")

    def find(self, service: str) -> str | None:
        """Return the only software that servers of a service have run lately; None for several.

        :raises StoreUncertainError: if the store does not confirm it.
        """
        if self._directory.sole_software(service, self._now()) is None:
            return None
        current = self._read()
        return self._directory.sole_software(service, self._now(), current)

    def _read(self) -> list[Server]:
        """Return the usable servers that the store lists after this call."""
        read = self._next_read
        if read is None:
            read = self._next_read = Event()
            eventlet.spawn_n(self._run, read)
        listed: list[StoredObject] | None = read.wait()
        if listed is None:
            raise StoreUncertainError("the store does not list the servers")
        return [server for item in listed if (server := self._usable(item)) is not None]

    def _run(self, read: Event) -> None:
        eventlet.sleep(max(0.0, self._read_at + PAUSE_SECONDS - self._now()))
        # Callers from now on may have to know of a later change.
        self._next_read = None
        self._read_at = self._now()
        listed = None
        try:
            listed = self._list_now(self._documents.servers_kind, TIMEOUT_SECONDS).items
        except ObjectStoreError:
            # The callers are refused, which is logged with its reason.
            pass
        finally:
            read.send(listed)

    def _usable(self, item: StoredObject) -> Server | None:
        try:
            return self._documents.server(item)
        except UnusableEntryError:
            # The followed list logs it.
            return None
