"""Ways to break the following of the store that the schedules have to find."""

from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import Any
from unittest.mock import patch

from yarrowwall.policy.freshness import Freshness
from yarrowwall.ports.object_store import Change
from yarrowwall.watching import prover
from yarrowwall.watching import store as reader_store
from yarrowwall.watching.contact_store import ContactStore
from yarrowwall.watching.follower import KindFollower
from yarrowwall.watching.picture import KindPicture

_take = KindPicture.take
_watch = KindFollower._watch
_list = KindFollower._list


def _ends_nothing(self: ContactStore, opened_before_s: float) -> None:
    """Leave all watches as they are."""


def _loses_the_last(self: KindPicture, changes: list[Change], revision: int) -> None:
    _take(self, changes[:-1] if len(changes) > 1 else changes, revision)


def _goes_on_too_far(self: KindFollower, revision: int) -> int:
    return _watch(self, revision) + 1


def _lists_stale(self: KindFollower) -> int:
    self._may_be_old = True
    return _list(self)


MUTANTS: dict[str, Callable[[], AbstractContextManager[Any]]] = {
    "a watch from before an outage is trusted": lambda: patch.object(
        ContactStore, "_end_doubted", _ends_nothing
    ),
    "the last change of a row is lost": lambda: patch.object(KindPicture, "take", _loses_the_last),
    "a wait goes on from a later revision": lambda: patch.object(
        KindFollower, "_watch", _goes_on_too_far
    ),
    "a lost question is waited for": lambda: patch.object(prover, "AGAIN_SECONDS", 3.0),
    "no reader is looked for": lambda: patch.object(reader_store, "READERS_LOOKED_FOR", 0),
    "pauses go on when the store is back": lambda: patch.object(
        reader_store.ReaderStore, "_note_back", lambda self: None
    ),
    "a gateway never asks for itself": lambda: patch.object(
        Freshness, "should_query_store", lambda self, now_s: False
    ),
    "a configuration is listed from an old copy": lambda: patch.object(
        KindFollower, "_list", _lists_stale
    ),
}
