"""The software that the servers of each service have run lately. No I/O."""

from collections import defaultdict
from collections.abc import Collection

from yarrowwall.model import Server

#: Seconds for which software is remembered after its last server was listed. It includes the
#: software of every stream that may still be resumed by a caller whose deadline is no longer.
MEMORY_SECONDS = 60.0


class SoftwareHistory:
    """The software of the listed servers, and of those listed lately, by service."""

    def __init__(self) -> None:
        self._first_listed: dict[str, float] = {}
        self._last_listed: defaultdict[str, dict[str, float]] = defaultdict(dict)

    def note(self, server: Server, now: float) -> None:
        """Record that a server is listed, or was until now."""
        self._first_listed.setdefault(server.service, now)
        listed = self._last_listed[server.service]
        listed[server.software_id] = now
        for software, at in list(listed.items()):
            if now - at >= MEMORY_SECONDS:
                del listed[software]

    def sole(self, service: str, servers: Collection[Server], now: float) -> str | None:
        """Return the only software that any server of a service has run lately, or None.

        A service whose servers state no version has one software.

        :param servers: the servers of the service that are known now.
        """
        found = {
            software
            for software, at in self._last_listed[service].items()
            if now - at < MEMORY_SECONDS
        }
        found |= {server.software_id for server in servers}
        if len(found) != 1:
            return None
        is_versioned = any(server.version for server in servers)
        if is_versioned and now - self._first_listed.get(service, now) < MEMORY_SECONDS:
            return None
        return found.pop()
