"""The list of servers as the platform's store tells it, entry by entry.

An entry that can't be used stands for no server and leaves all others as they are.
"""

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from yarrowwall import decisions
from yarrowwall.decisions import DecisionLog
from yarrowwall.exceptions import EntryFault, UnusableEntryError
from yarrowwall.model import Server, Service
from yarrowwall.policy.servers import ServerDirectory
from yarrowwall.ports.object_store import Change, StoredObject
from yarrowwall.ports.platform import Documents

#: Entries whose faults are remembered, so that each is told of once and not at every list.
MAX_REMEMBERED = 1000
#: Faults that show only beside other entries or the configuration.
_BESIDE_OTHERS = (
    EntryFault.DUPLICATE_ID,
    EntryFault.DUPLICATE_ADDRESS,
    EntryFault.UNKNOWN_SERVICE,
)


class _Told(NamedTuple):
    """A fault of an entry that was told."""

    name: str
    fault: EntryFault


class ServerList:
    """Takes lists and changes of entries into a directory.

    :param services: returns the services of the configuration in force; empty before the first.
    :param now: the monotonic clock.
    """

    def __init__(
        self,
        documents: Documents,
        directory: ServerDirectory,
        services: Callable[[], dict[str, Service]],
        log: DecisionLog,
        now: Callable[[], float],
    ) -> None:
        self._documents = documents
        self._directory = directory
        self._services = services
        self._log = log
        self._now = now
        self._faults: set[_Told] = set()
        self._has_listed = False

    def apply_list(self, items: list[StoredObject]) -> None:
        """Take in the whole list."""
        servers = [server for item in items if (server := self._read(item)) is not None]
        known = {server_id: state.server for server_id, state in self._directory.states.items()}
        self._directory.replace_all(servers, self._services(), self._now())
        for name, count in Counter(item.name for item in items).items():
            if name and count > 1:
                self._note_fault(name, EntryFault.DUPLICATE_ID, f"{count} entries")
        # The first list is no news, and a start has other things to do than to write lines.
        for server in servers if self._has_listed else ():
            self._tell(server, known.get(server.server_id), is_change=False)
        self._has_listed = True
        for server in servers:
            self._look_at_service(server)
        self._look_at_addresses(servers)

    def apply_change(self, change: Change) -> None:
        """Take in one change."""
        item = change.item
        if change.is_gone:
            self._faults -= {told for told in self._faults if told.name == item.name}
            self._directory.remove(self._documents.server_incarnation(item), self._now())
            self._log.write(decisions.ServerChanged(item.name, "", "gone"))
            return
        server = self._read(item)
        if server is None:
            self._directory.remove(self._documents.server_incarnation(item), self._now())
            return
        before = self._directory.states.get(server.server_id)
        known = before.server if before is not None else None
        self._forget_own_faults(server.server_id)
        self._directory.put(server, self._services(), self._now())
        self._tell(server, known, is_change=True)
        self._look_at_service(server)
        self._look_at_addresses([server])

    def _read(self, item: StoredObject) -> Server | None:
        """Return the server that an entry names; None if it names none."""
        try:
            server = self._documents.server(item)
        except UnusableEntryError as error:
            self._note_fault(item.name, error.fault, error.name)
            return None
        return server

    def _tell(self, server: Server, before: Server | None, is_change: bool) -> None:
        """Write what became of a server."""
        if before is not None and server.incarnation.is_before(before.incarnation):
            change = "told of a life that is over"
        elif before is not None and before.incarnation.is_before(server.incarnation):
            change = "started again"
        elif before is not None and not is_change:
            return
        else:
            change = "draining" if server.is_draining else "listed"
        self._log.write(decisions.ServerChanged(server.server_id, server.service, change))

    def _look_at_service(self, server: Server) -> None:
        """Tell of a service that no configuration has yet: nothing is sent there before."""
        services = self._services()
        if services and server.service not in services:
            self._note_fault(server.server_id, EntryFault.UNKNOWN_SERVICE, server.service)

    def _look_at_addresses(self, servers: list[Server]) -> None:
        """Tell of addresses that two listed servers have.

        Both may get requests, which name the one that is meant: an address is used again after
        a server has gone, and whose it is only the answer shows.
        """
        holders: dict[str, list[str]] = {}
        for state in self._directory.states.values():
            if state.vanished_at is None:
                holders.setdefault(state.server.address, []).append(state.server.server_id)
        for server in servers:
            others = [name for name in holders.get(server.address, ()) if name != server.server_id]
            if others:
                self._note_fault(server.server_id, EntryFault.DUPLICATE_ADDRESS, others[0])

    def _forget_own_faults(self, name: str) -> None:
        """Tell anew of what is wrong with an entry that was sound meanwhile."""
        self._faults -= {
            told for told in self._faults if told.name == name and told.fault not in _BESIDE_OTHERS
        }

    def _note_fault(self, name: str, fault: EntryFault, detail: str) -> None:
        told = _Told(name, fault)
        if told in self._faults:
            return
        if len(self._faults) >= MAX_REMEMBERED:
            self._faults.clear()
        self._faults.add(told)
        self._log.write(decisions.EntryRefused(name[:80], fault.value, detail[:80]))
