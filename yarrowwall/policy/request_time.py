"""The deadline of a request. No I/O; times are seconds of the monotonic clock."""


class RequestTime:
    """The time of one request: until its caller's deadline or its route's timeout.

    New configurations may come into force while the request is in progress. The longest of its
    route's timeouts applies: it was admitted with one, and callers may rely on another.

    :param arrived_at: time at which the request arrived.
    :param deadline: time at which its caller gives up.
    :param route_s: the route's timeout at admission.
    """

    def __init__(self, arrived_at: float, deadline: float, route_s: float) -> None:
        self._arrived_at = arrived_at
        self._deadline = deadline
        self._route_s = route_s

    @property
    def end(self) -> float:
        """Return the time at which the request times out."""
        return min(self._deadline, self._arrived_at + self._route_s)

    @property
    def latest_end(self) -> float:
        """Return the time that the request's end cannot exceed, whatever its route's timeout."""
        return self._deadline

    @property
    def length_s(self) -> float:
        """Return the seconds from the request's arrival to its end."""
        return self.end - self._arrived_at

    def note_route_s(self, route_s: float) -> None:
        """Record a new timeout of the route."""
        self._route_s = max(self._route_s, route_s)
