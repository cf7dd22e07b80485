"""Whether the store answers, judged by when its answered and failed requests were sent. No I/O."""

#: Seconds after the first failure before the store counts as unavailable. A request that is sent
#: right after it takes 0.01 s, or up to 0.25 s if the store is slow, to show that only one answer
#: was lost.
GRACE_SECONDS = 0.3


class StoreAvailability:
    """Whether this process gets answers from the store.

    A request that was lost in an outage times out up to 3.5 s later, when the store may have
    recovered long ago. So a timeout counts for the time at which its request was sent. When it
    counted for the time at which it expired, it ended sound watches and made a reader withhold new
    state from its whole zone: configurations took effect up to 2.9 s after the end of an outage.

    :ivar lost_at_s: when the first failure since the last answer was seen; None if there is none.
    """

    def __init__(self) -> None:
        self.lost_at_s: float | None = None
        self._answered_s = float("-inf")

    def note_answered(self, sent_at_s: float) -> bool:
        """Note an answer; return whether it is the first one after a failure."""
        self._answered_s = max(self._answered_s, sent_at_s)
        was_lost = self.lost_at_s is not None
        self.lost_at_s = None
        return was_lost

    def is_superseded(self, sent_at_s: float) -> bool:
        """Return whether a request that was sent later has been answered."""
        return sent_at_s < self._answered_s

    def note_failed(self, now_s: float) -> bool:
        """Note a failure that is not superseded; return whether it is the first since an answer."""
        is_first = self.lost_at_s is None
        if is_first:
            self.lost_at_s = now_s
        return is_first

    def is_unavailable(self, now_s: float) -> bool:
        """Return whether the store has been failing for longer than the grace period."""
        return self.lost_at_s is not None and now_s - self.lost_at_s >= GRACE_SECONDS
