"""Since when what is known of an object is surely its newest state. No I/O."""

from typing import NamedTuple


class _Reading(NamedTuple):
    """An answer of the store that shows a state which is not known here yet."""

    revision: int
    sent_at_s: float


class VerifiedState:
    """Compares what is known of an object with what the store answers when it is asked.

    Only such an answer proves anything: a watch that waits may wait at a store that has lost
    it, and its history may be forgotten. It proves the moment at which the question was sent,
    for later changes may have been acknowledged while the answer was on its way.

    :ivar verified_at_s: the newest moment at which nothing newer than what is known had been
        acknowledged; None before the first.
    """

    def __init__(self) -> None:
        self.verified_at_s: float | None = None
        self._known_revision = 0
        self._newer: _Reading | None = None

    @property
    def is_stale(self) -> bool:
        """Return whether the store has a newer state than is known here."""
        return self._newer is not None

    def note_answer(self, revision: int, sent_at_s: float) -> None:
        """Take in an answer of the store.

        :param revision: that of the object's last change; 0 if there is no object.
        """
        if revision > self._known_revision:
            self._newer = _Reading(revision, sent_at_s)
            return
        self._prove(sent_at_s)

    def note_known(self, revision: int) -> None:
        """Take in that a state of the object is known by now."""
        self._known_revision = max(self._known_revision, revision)
        if self._newer is not None and self._newer.revision <= self._known_revision:
            self._prove(self._newer.sent_at_s)

    def _prove(self, sent_at_s: float) -> None:
        self._newer = None
        if self.verified_at_s is None or sent_at_s > self.verified_at_s:
            self.verified_at_s = sent_at_s
