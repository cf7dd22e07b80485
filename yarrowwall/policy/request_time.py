"""How long a request may take. No I/O; times are seconds of the monotonic clock."""


class RequestTime:
    """The time of one request: until its caller's deadline, or its route's time if that is less.

    Configurations come into force while it is under way. It gets the longest of the times that its
    route had meanwhile: it was admitted with the one, and callers may rely on the other.

    :param arrived_at: when it arrived.
    :param deadline: when its caller gives it up.
    :param route_s: its route's time when it was admitted.
    """

    def __init__(self, arrived_at: float, deadline: float, route_s: float) -> None:
        self._arrived_at = arrived_at
        self._deadline = deadline
        self._route_s = route_s

    @property
    def end(self) -> float:
        """Return when the time is over."""
        return min(self._deadline, self._arrived_at + self._route_s)

    def note_route_s(self, route_s: float) -> None:
        """Take in the time that the route has from now on."""
        self._route_s = max(self._route_s, route_s)
