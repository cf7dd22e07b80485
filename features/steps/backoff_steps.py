"""Steps about the backoff of components that fail repeatedly."""

from collections.abc import Callable
from unittest.mock import patch

import eventlet
from behave import given, then, when
from behave.runner import Context

from yarrowwall.decisions import DecisionLog
from yarrowwall.messages.replicated import Member
from yarrowwall.model import Incarnation, Server
from yarrowwall.policy.freshness import Freshness
from yarrowwall.policy.servers import ServerDirectory
from yarrowwall.ports.object_store import Listing, ObjectName, ObjectStoreError, StoredObject
from yarrowwall.watching.follower import KindFollower
from yarrowwall.watching.freshness_probe import FreshnessProbe
from yarrowwall.watching.reader_selection import ReaderSelection

NOW_S = 100.0


class _Stopped(Exception):
    """Ends an endless loop once enough pauses were recorded."""


class _FailingStore:
    """A store whose reads all fail."""

    def list(self, kind: str, timeout_s: float, allow_stale: bool = False) -> Listing:
        """Fail."""
        raise ObjectStoreError(kind)

    def get(self, kind: str, name: str, timeout_s: float) -> StoredObject:
        """Fail."""
        raise ObjectStoreError(kind)

    def wait_for_recovery(self, seconds: float) -> None:
        """Pause."""
        eventlet.sleep(seconds)


def pauses(run: Callable[[], None], count: int) -> list[float]:
    """Return the first pauses of a function that never returns."""
    found: list[float] = []

    def sleep(seconds: float) -> None:
        found.append(seconds)
        if len(found) == count:
            raise _Stopped

    with patch("eventlet.sleep", sleep):
        try:
            run()
        except _Stopped:
            return found
    raise AssertionError("the function returned")


def _ignore(item: object) -> None:
    """Do nothing."""


def follower_pause_s(failures: int) -> float:
    follower = KindFollower(_FailingStore(), "config", _ignore, _ignore, DecisionLog("edge-0"))
    follower.has_listed = True
    follower._failures = failures
    return pauses(follower._run, 1)[-1]


def reader_pause_s(failures: int) -> float:
    selection = ReaderSelection("edge-0", "a")
    selection.put(Member("a-1", "disk", "127.0.0.1:1", "a"))
    for _ in range(failures + 1):
        selection.note_no_answer("a-1", NOW_S)
    return selection._skipped_until["a-1"] - NOW_S


def server_pause_s(failures: int) -> float:
    directory = ServerDirectory("a")
    directory.put(Server("i-1", "records", "127.0.0.1:1", "a", 4, False), {}, NOW_S)
    for _ in range(failures + 1):
        directory.note_failure(Incarnation("i-1"), NOW_S)
    return directory.states["i-1"].suspended_until - NOW_S


def probe_pause_s(failures: int) -> float:
    probe = FreshnessProbe(
        "edge-0",
        _FailingStore(),
        ObjectName("config", "main"),
        Freshness(5.0, 3.0),
        lambda item: None,
        DecisionLog("edge-0"),
        lambda: NOW_S,
    )
    probe._unanswered = failures
    # The first pause is between two checks of the age.
    return pauses(probe._run, 2)[-1]


PAUSES = {
    "a follower of the store": follower_pause_s,
    "a reader that does not answer": reader_pause_s,
    "a server that fails": server_pause_s,
    "a gateway's own question": probe_pause_s,
}


@given("{who} that has failed {count:d} times")
def failed_often(context: Context, who: str, count: int) -> None:
    context.who, context.failures = PAUSES[who], count


@when("it fails once more")
def fails_again(context: Context) -> None:
    context.pause_s = context.who(context.failures)


@then("its pause is {most_s:f} s at most, and it goes on")
def pause_at_most(context: Context, most_s: float) -> None:
    assert 0.0 < context.pause_s <= most_s, context.pause_s
