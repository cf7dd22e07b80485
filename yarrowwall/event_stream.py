"""Splitting of server-sent event streams into complete events."""

import re
from dataclasses import dataclass

_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
_DATA = re.compile(rb"^data:[ ]?([^\r\n]*)", re.MULTILINE)
_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
#: Length of the longest end of an event.
_MAX_END_BYTES = 4


@dataclass(frozen=True)
class Event:
    """One complete event.

    :param raw: its bytes, including the empty line at its end.
    :param event_id: its id; None if it has none.
    """

    raw: bytes
    event_id: str | None

    @property
    def data(self) -> bytes:
        """Return the event's data, its lines joined by line feeds."""
        return b"\n".join(_DATA.findall(self.raw))


class EventSplitter:
    """Buffers bytes and returns the events that are complete."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Return the bytes of an incomplete event."""
        return self._rest

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes and return the events that they complete."""
        buffer = self._rest + data
        events = []
        start = 0
        # An end may have begun in the earlier bytes, which have been searched.
        searched = max(0, len(self._rest) - _MAX_END_BYTES)
        for end in _END.finditer(buffer, searched):
            raw = buffer[start : end.end()]
            start = end.end()
            found = _ID.search(raw)
            event_id = found.group(1).decode("latin-1") if found else None
            events.append(Event(raw, event_id))
        self._rest = buffer[start:]
        return events
