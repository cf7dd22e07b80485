"""Mutants of the code that follows the store, which the schedules must detect."""

from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import Any
from unittest.mock import patch

from yarrowwall.policy.freshness import Freshness
from yarrowwall.ports.object_store import Change
from yarrowwall.watching import object_verifier, store_client
from yarrowwall.watching.follower import KindFollower
from yarrowwall.watching.monitored_store import MonitoredStore
from yarrowwall.watching.object_cache import ObjectCache

_apply = ObjectCache.apply
_watch = KindFollower._watch
_list = KindFollower._list


def _interrupt_nothing(self: MonitoredStore, opened_before_s: float) -> None:
    """Interrupt no watch."""


def _lose_last_change(self: ObjectCache, changes: list[Change], revision: int) -> None:
    _apply(self, changes[:-1] if len(changes) > 1 else changes, revision)


def _skip_a_revision(self: KindFollower, revision: int) -> int:
    return _watch(self, revision) + 1


def _list_stale(self: KindFollower) -> int:
    self._allow_stale = True
    return _list(self)


MUTANTS: dict[str, Callable[[], AbstractContextManager[Any]]] = {
    "a watch from before an outage is trusted": lambda: patch.object(
        MonitoredStore, "_interrupt_older_watches", _interrupt_nothing
    ),
    "the last change of a batch is lost": lambda: patch.object(
        ObjectCache, "apply", _lose_last_change
    ),
    "a watch skips a revision": lambda: patch.object(KindFollower, "_watch", _skip_a_revision),
    "a lost request is waited for": lambda: patch.object(object_verifier, "RESEND_SECONDS", 3.0),
    "no reader is checked": lambda: patch.object(store_client, "READERS_CHECKED", 0),
    "pauses continue after a recovery": lambda: patch.object(
        store_client.StoreClient, "_note_reachable", lambda self: None
    ),
    "a gateway never queries the store itself": lambda: patch.object(
        Freshness, "should_query_store", lambda self, now_s: False
    ),
    "a configuration is listed from an old copy": lambda: patch.object(
        KindFollower, "_list", _list_stale
    ),
}
