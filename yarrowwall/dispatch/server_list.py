"""The list of servers, read entry by entry from the platform store.

An entry that cannot be used yields no server and does not affect the others.
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

#: Maximum number of faults that are remembered to log each once and not with every list.
MAX_LOGGED_FAULTS = 1000
#: Faults that depend on other entries or on the configuration.
_EXTERNAL_FAULTS = (
    EntryFault.DUPLICATE_ID,
    EntryFault.DUPLICATE_ADDRESS,
    EntryFault.UNKNOWN_SERVICE,
)


class _LoggedFault(NamedTuple):
    """A fault of an entry that has been logged."""

    name: str
    fault: EntryFault


class ServerList:
    """Applies lists and changes of entries to a server directory.

    :param services: returns the services of the current configuration; empty before the first.
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
        self._faults: set[_LoggedFault] = set()
        self._has_listed = False

    def apply_list(self, items: list[StoredObject]) -> None:
        """Replace the directory's servers by those of a complete list."""
        servers = [server for item in items if (server := self._read(item)) is not None]
        known = {server_id: state.server for server_id, state in self._directory.states.items()}
        self._directory.replace_all(servers, self._services(), self._now())
        for name, count in Counter(item.name for item in items).items():
            if name and count > 1:
                self._note_fault(name, EntryFault.DUPLICATE_ID, f"{count} entries")
        # The first list is not logged: it shows no changes, and logging would delay the start.
        for server in servers if self._has_listed else ():
            self._log_change(server, known.get(server.server_id), is_change=False)
        self._has_listed = True
        for server in servers:
            self._check_service(server)
        self._check_addresses(servers)

    def apply_change(self, change: Change) -> None:
        """Apply the change of one entry."""
        item = change.item
        if change.is_gone:
            self._faults -= {logged for logged in self._faults if logged.name == item.name}
            self._directory.remove(self._documents.server_incarnation(item), self._now())
            self._log.write(decisions.ServerChanged(item.name, "", "gone"))
            return
        server = self._read(item)
        if server is None:
            self._directory.remove(self._documents.server_incarnation(item), self._now())
            return
        before = self._directory.states.get(server.server_id)
        known = before.server if before is not None else None
        self._clear_own_faults(server.server_id)
        self._directory.put(server, self._services(), self._now())
        self._log_change(server, known, is_change=True)
        self._check_service(server)
        self._check_addresses([server])

    def _read(self, item: StoredObject) -> Server | None:
        """Return the server of an entry; None, with the fault logged, if it is unusable."""
        try:
            server = self._documents.server(item)
        except UnusableEntryError as error:
            self._note_fault(item.name, error.fault, error.name)
            return None
        except Exception as error:
            # Whatever an entry holds, it must not cost the others of its list.
            self._note_fault(item.name, EntryFault.UNREADABLE, repr(error))
            return None
        return server

    def _log_change(self, server: Server, before: Server | None, is_change: bool) -> None:
        """Log a change of a server's entry."""
        if before is not None and server.incarnation.is_before(before.incarnation):
            change = "told of a life that is over"
        elif before is not None and before.incarnation.is_before(server.incarnation):
            change = "started again"
        elif before is not None and not is_change:
            return
        else:
            change = "draining" if server.is_draining else "listed"
        logged = decisions.ServerChanged(server.server_id, server.service, change, server.version)
        self._log.write(logged)

    def _check_service(self, server: Server) -> None:
        """Log a service that the configuration does not have; it gets no requests until it does."""
        services = self._services()
        if services and server.service not in services:
            self._note_fault(server.server_id, EntryFault.UNKNOWN_SERVICE, server.service)

    def _check_addresses(self, servers: list[Server]) -> None:
        """Log addresses that two listed servers share.

        Both may get requests, which name the intended server: an address is reused after a
        server has gone, and only the answer shows which server has it.
        """
        holders: dict[str, list[str]] = {}
        for state in self._directory.states.values():
            if state.vanished_at is None:
                holders.setdefault(state.server.address, []).append(state.server.server_id)
        for server in servers:
            others = [name for name in holders.get(server.address, ()) if name != server.server_id]
            if others:
                self._note_fault(server.server_id, EntryFault.DUPLICATE_ADDRESS, others[0])

    def _clear_own_faults(self, name: str) -> None:
        """Forget an entry's own faults once it is valid, so that later ones are logged again."""
        self._faults -= {
            logged
            for logged in self._faults
            if logged.name == name and logged.fault not in _EXTERNAL_FAULTS
        }

    def _note_fault(self, name: str, fault: EntryFault, detail: str) -> None:
        logged = _LoggedFault(name, fault)
        if logged in self._faults:
            return
        if len(self._faults) >= MAX_LOGGED_FAULTS:
            self._faults.clear()
        self._faults.add(logged)
        self._log.write(decisions.EntryRefused(name[:80], fault.value, detail[:80]))
