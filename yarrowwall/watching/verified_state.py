"""Tracks until when the known state of an object was verified to be the newest. No I/O."""

from typing import NamedTuple


class _NewerState(NamedTuple):
    """A state in an answer of the store that is newer than the known one."""

    revision: int
    sent_at_s: float


class VerifiedState:
    """Compares the known state of an object with the answers of the store to reads of it.

    Only an answer to a read verifies a state: the store may have lost a watch that is waiting, or
    dropped the history that the watch needs. An answer verifies the state as of the time at which
    the request was sent, since later changes may have been acknowledged before the answer arrived.

    :ivar verified_at_s: the latest time at which no state newer than the known one had been
        acknowledged; None before the first verification.
    """

    def __init__(self) -> None:
        self.verified_at_s: float | None = None
        self._known_revision = 0
        self._newer: _NewerState | None = None

    @property
    def is_stale(self) -> bool:
        """Return whether the store has answered with a state newer than the known one."""
        return self._newer is not None

    def note_answer(self, revision: int, sent_at_s: float) -> None:
        """Note an answer of the store.

        :param revision: the revision of the object's last change; 0 if there is no such object.
        :param sent_at_s: when the request was sent.
        """
        if revision > self._known_revision:
            self._newer = _NewerState(revision, sent_at_s)
            return
        self._verify(sent_at_s)

    def note_known(self, revision: int) -> None:
        """Note the revision of a state of the object that has become known."""
        self._known_revision = max(self._known_revision, revision)
        if self._newer is not None and self._newer.revision <= self._known_revision:
            self._verify(self._newer.sent_at_s)

    def _verify(self, sent_at_s: float) -> None:
        self._newer = None
        if self.verified_at_s is None or sent_at_s > self.verified_at_s:
            self.verified_at_s = sent_at_s
