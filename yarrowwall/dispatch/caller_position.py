"""Where a caller that resumes a stream is in it. No I/O."""

from yarrowwall.event_stream import Event
from yarrowwall.exceptions import StreamPositionError

#: Sent by callers that resume a stream of which they have no event.
_BEFORE_FIRST = "0"


class CallerPosition:
    """Separates the events that a caller has from those that it lacks.

    The stream is run again from its start, so both kinds come.

    :param last_event_id: the last event that the caller has; empty or ``0`` if it has none, though
        the first event of a stream may have the id ``0`` as well.
    """

    def __init__(self, last_event_id: str) -> None:
        self._last_event_id = last_event_id
        self._is_reached = not last_event_id

    def split(self, events: list[Event]) -> tuple[list[Event], list[Event]]:
        """Return the events of a batch that the caller has, and those that it lacks.

        :raises StreamPositionError: if the stream passes the caller's last event without having it.
        """
        for index, event in enumerate(events):
            if self._is_reached:
                return events[:index], events[index:]
            if self._is_beyond(event):
                if self._last_event_id != _BEFORE_FIRST:
                    raise StreamPositionError(f"no event {self._last_event_id} in the stream")
                self._is_reached = True
                return [], events
            self._is_reached = event.event_id == self._last_event_id
        return events, []

    def _is_beyond(self, event: Event) -> bool:
        """Return whether an event comes after the caller's last one; ids of a stream rise."""
        last, current = self._last_event_id, event.event_id or ""
        return last.isdecimal() and current.isdecimal() and int(current) > int(last)

    def check_reached(self) -> None:
        """Check at the end of the stream that it had the caller's last event.

        :raises StreamPositionError: if it had not.
        """
        if not self._is_reached:
            raise StreamPositionError(f"the stream ends before event {self._last_event_id}")
