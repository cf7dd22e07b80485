"""Ways to break the following of the store that the schedules have to find."""

from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import Any
from unittest.mock import patch

from yarrowwall.policy.freshness import Freshness
from yarrowwall.ports.object_store import Change
from yarrowwall.watching import object_verifier
from yarrowwall.watching import store_client as reader_store
from yarrowwall.watching.follower import KindFollower
from yarrowwall.watching.monitored_store import MonitoredStore
from yarrowwall.watching.object_cache import ObjectCache

_apply = ObjectCache.apply
_watch = KindFollower._watch
_list = KindFollower._list


def _ends_nothing(self: MonitoredStore, opened_before_s: float) -> None:
    """Leave all watches as they are."""


def _loses_the_last(self: ObjectCache, changes: list[Change], revision: int) -> None:
    _apply(self, changes[:-1] if len(changes) > 1 else changes, revision)


def _goes_on_too_far(self: KindFollower, revision: int) -> int:
    return _watch(self, revision) + 1


def _lists_stale(self: KindFollower) -> int:
    self._allow_stale = True
    return _list(self)


MUTANTS: dict[str, Callable[[], AbstractContextManager[Any]]] = {
    "a watch from before an outage is trusted": lambda: patch.object(
        MonitoredStore, "_interrupt_older_watches", _ends_nothing
    ),
    "the last change of a row is lost": lambda: patch.object(ObjectCache, "apply", _loses_the_last),
    "a wait goes on from a later revision": lambda: patch.object(
        KindFollower, "_watch", _goes_on_too_far
    ),
    "a lost question is waited for": lambda: patch.object(object_verifier, "RESEND_SECONDS", 3.0),
    "no reader is looked for": lambda: patch.object(reader_store, "READERS_CHECKED", 0),
    "pauses go on when the store is back": lambda: patch.object(
        reader_store.StoreClient, "_note_reachable", lambda self: None
    ),
    "a gateway never asks for itself": lambda: patch.object(
        Freshness, "should_query_store", lambda self, now_s: False
    ),
    "a configuration is listed from an old copy": lambda: patch.object(
        KindFollower, "_list", _lists_stale
    ),
}
