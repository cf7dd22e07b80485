"""What answers and silences tell about the store, by when their questions were sent. No I/O."""

#: Seconds for which a loss counts as a moment's: a question that is sent at once shows in 0.01 s
#: that only one answer was lost, and in up to 0.25 s if the store is slow.
GRACE_SECONDS = 0.3


class StoreAvailability:
    """Whether a process hears from the store.

    A question that was lost in an outage runs into its time-out up to 3.5 s later. By then the
    store may be back for long, so a time-out is news of the moment at which its question was
    sent. Taken for news of its end, it ended watches that were sound, and what a reader had
    just learned was held back from a whole zone: in random troubles configurations came into
    force up to 2.9 s after these had ended.

    :ivar lost_at_s: when the first failure since the last answer was seen; None in contact.
    """

    def __init__(self) -> None:
        self.lost_at_s: float | None = None
        self._answered_s = float("-inf")

    def note_answered(self, sent_at_s: float) -> bool:
        """Take in an answer; return whether it is the first one after a loss."""
        self._answered_s = max(self._answered_s, sent_at_s)
        was_lost = self.lost_at_s is not None
        self.lost_at_s = None
        return was_lost

    def is_overtaken(self, sent_at_s: float) -> bool:
        """Return whether a question that was sent later has been answered."""
        return sent_at_s < self._answered_s

    def note_failed(self, now_s: float) -> bool:
        """Take in a failure that is news; return whether it is the first one."""
        is_first = self.lost_at_s is None
        if is_first:
            self.lost_at_s = now_s
        return is_first

    def is_out(self, now_s: float) -> bool:
        """Return whether the store has been lost for more than a moment."""
        return self.lost_at_s is not None and now_s - self.lost_at_s >= GRACE_SECONDS
