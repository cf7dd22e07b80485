"""Steps about machines that read the platform store for others."""

import signal
import time
from collections.abc import Callable
from unittest.mock import patch

import eventlet
from behave import given, then, when
from behave.runner import Context
from eventlet.event import Event

from features.support.platform_scripts import world
from features.support.reader_model import ends_in_state
from yarrowwall.decisions import DecisionLog
from yarrowwall.messages.objects import ListObjects, ObjectsReply, WatchObjects
from yarrowwall.messages.replicated import Member
from yarrowwall.ports.object_store import (
    Change,
    Changes,
    Listing,
    ObjectName,
    ObjectStoreError,
    StoredObject,
)
from yarrowwall.watching.follower import KindFollower
from yarrowwall.watching.object_cache import ObjectCache
from yarrowwall.watching.reader import StoreReader
from yarrowwall.watching.reader_selection import ReaderSelection
from yarrowwall.watching.store_client import StoreClient
from yarrowwall.watching.wire import ObjectEncoder, decode_changes, decode_object

SEEDS = range(300)
#: All machines of the scenarios are in one zone, and this reader is the first by name.
READER = "storage-0"
#: The store's revision after the only change of a scenario.
CHANGED_REVISION = 2
READERS = ("storage-0", "storage-1", "storage-2")


def _apply_without_deletions(self: ObjectCache, changes: list[Change], revision: int) -> None:
    _apply(self, [change for change in changes if not change.is_gone], revision)


_apply = ObjectCache.apply
_changes_since = ObjectCache.changes_since


def _skip_expired(self: ObjectCache, revision: int) -> Changes | None:
    return _changes_since(self, max(revision, self.oldest_revision))


def _omit_partly_known(self: ObjectCache, revision: int) -> Changes | None:
    found = _changes_since(self, revision)
    if found is None:
        return None
    # The revision of a deleted object is that of its last change before.
    newer = [change for change in found.changes if change.item.revision > revision]
    return Changes(newer, found.revision)


MUTANTS = {
    "deletions of objects are not returned": ("apply", _apply_without_deletions),
    "expired changes are skipped": ("changes_since", _skip_expired),
    "a batch that was partly known is omitted": ("changes_since", _omit_partly_known),
}


@then(
    "{count:d} random histories of changes, followed through two readers, end in the store's state"
)
def histories_end_well(context: Context, count: int) -> None:
    wrong = [seed for seed in range(count) if not ends_in_state(seed)]
    assert not wrong, wrong


@given("readers of which {mutant}")
def mutant_readers(context: Context, mutant: str) -> None:
    context.mutant = patch.object(ObjectCache, *MUTANTS[mutant])


@then("some random history followed through two readers ends in another state")
def some_history_fails(context: Context) -> None:
    with context.mutant:
        assert any(not ends_in_state(seed) for seed in SEEDS)


@given('readers "a-1", "a-2", "a-3" of zone "a" and "b-1", "b-2" of zone "b"')
def known_readers(context: Context) -> None:
    names = ("b-2", "a-3", "a-1", "b-1", "a-2")
    context.readers = [Member(name, f"disk-{name}", "127.0.0.1:1", name[0]) for name in names]
    context.selection = ReaderSelection("edge-0", "a")
    context.selection.replace_all(context.readers)


@then('{count:d} machines of zone "{zone}" all ask "{first}", then "{second}", then "{third}"')
def same_order(
    context: Context, count: int, zone: str, first: str, second: str, third: str
) -> None:
    for number in range(count):
        order = ReaderSelection(f"edge-{number}", zone)
        order.replace_all(context.readers)
        asked = [reader.node_id for reader in order.candidates(0.0)]
        assert asked == [first, second, third], asked


@when('"{reader}" does not answer at {now_s:f} s')
def unresponsive_reader(context: Context, reader: str, now_s: float) -> None:
    context.selection.note_no_answer(reader, now_s)


@then('at {now_s:f} s machines of zone "{zone}" ask "{reader}" first')
def asked_first(context: Context, now_s: float, zone: str, reader: str) -> None:
    assert context.selection.candidates(now_s)[0].node_id == reader


@when("readers have been asked for {seconds:d} s")
def readers_asked(context: Context, seconds: int) -> None:
    # Long enough for every machine to have switched from the store to a reader.
    time.sleep(seconds)


@then('only one machine watches "{kind}" at the store within {limit:d} s')
def one_watches(context: Context, kind: str, limit: int) -> None:
    store = world(context).store

    def watching() -> list[str]:
        with store.lock:
            return [name for (name, of), count in store.watching.items() if of == kind and count]

    def watching_for_a_second() -> list[list[str]]:
        """Return the watching machines, 50 times in a second: there are gaps between watches."""
        return [watching() for _ in range(50) if not time.sleep(0.02)]

    def is_settled(seen: list[list[str]]) -> bool:
        return [READER] in seen and all(found in ([], [READER]) for found in seen)

    end = time.monotonic() + limit
    while not is_settled(seen := watching_for_a_second()):
        assert time.monotonic() < end, seen
    assert is_settled(seen := watching_for_a_second()), seen


def kill(context: Context) -> None:
    world(context).kill(READER)


def freeze(context: Context) -> None:
    world(context).kill(READER, signal.SIGSTOP)


def cut_off(context: Context) -> None:
    world(context).store.turn_away(READER)


FAILURES: dict[str, Callable[[Context], None]] = {
    "is killed": kill,
    "is frozen": freeze,
    "is cut off from the store": cut_off,
}


@when("the reader {fails}")
def reader_fails(context: Context, fails: str) -> None:
    FAILURES[fails](context)


@when("the store turns gateway {number:d} away")
def gateway_turned_away(context: Context, number: int) -> None:
    world(context).store.turn_away(f"edge-{number}")


@when("the store turns every reader away")
def readers_rejected(context: Context) -> None:
    for name in READERS:
        world(context).store.turn_away(name)


@when("a configuration is written")
def configuration_written(context: Context) -> None:
    context.version = world(context).publish()


@when("the store forgets its history and a configuration is written")
def forgotten_and_written(context: Context) -> None:
    context.version = world(context).publish()
    world(context).store.forget_history()


class _OneObject:
    """A store with one object, which changes when the scenario triggers it."""

    def __init__(self) -> None:
        self.changed = Event()

    def list(self, kind: str, timeout_s: float, allow_stale: bool = False) -> Listing:
        """Return the object."""
        return Listing([StoredObject("main", 1, {}, {})], 1)

    def watch(self, kind: str, revision: int, wait_s: float) -> Changes:
        """Wait for the change."""
        if revision >= CHANGED_REVISION:
            eventlet.sleep(wait_s)
            return Changes([], revision)
        self.changed.wait()
        changed = Change(StoredObject("main", CHANGED_REVISION, {}, {}), False)
        return Changes([changed], CHANGED_REVISION)

    def interrupt_watches(
        self, opened_before_s: float = float("inf"), kind: str | None = None
    ) -> None:
        """Interrupt nothing."""


@given("a reader of a store with one configuration")
def reader_of_one(context: Context) -> None:
    context.one_object = _OneObject()
    log = DecisionLog("storage-0")
    target = ObjectName("config", "main")
    context.reader = StoreReader(context.one_object, target, log, time.monotonic)


@when("two requests wait for a change, the second for {wait_ms:d} ms")
def two_requests(context: Context, wait_ms: int) -> None:
    context.replies = {}
    context.first_takes_s = 0.0

    def first(reply: ObjectsReply) -> None:
        eventlet.sleep(context.first_takes_s)
        context.replies["first"] = reply

    def second(reply: ObjectsReply) -> None:
        context.replies["second"] = reply

    # Waits until the reader's own first list is complete.
    context.reader.ask(ListObjects("config", 0), lambda reply: None)
    eventlet.sleep(0.05)
    context.reader.ask(WatchObjects("config", 1, 5.0), first)
    context.reader.ask(WatchObjects("config", 1, wait_ms / 1000.0), second)


@when(
    "the configuration changes after {after_ms:d} ms, and answering the first takes {takes_ms:d} ms"
)
def changes_meanwhile(context: Context, after_ms: int, takes_ms: int) -> None:
    context.first_takes_s = takes_ms / 1000.0
    eventlet.sleep(after_ms / 1000.0)
    context.one_object.changed.send()
    eventlet.sleep((takes_ms + 200) / 1000.0)


@then("both get the change")
def both_changed(context: Context) -> None:
    revisions = {
        name: [item.revision for item in reply.objects] for name, reply in context.replies.items()
    }
    assert revisions == {"first": [CHANGED_REVISION], "second": [CHANGED_REVISION]}, revisions


def _configuration(count: int, revision: int) -> StoredObject:
    """Return a configuration of many routes."""
    routes = [
        {"name": f"r-{number:x}", "path_prefix": f"/r{number}/", "timeout_ms": 1200}
        for number in range(count)
    ]
    return StoredObject("main", revision, {"version": revision, "routes": routes}, {})


@given("a configuration of {count:d} routes that a reader serves")
def large_configuration(context: Context, count: int) -> None:
    context.encoder = ObjectEncoder()
    context.item = _configuration(count, 1)
    context.encodings = []


@when("{count:d} machines ask for it")
def many_ask(context: Context, count: int) -> None:
    context.encodings += [context.encoder.encode(context.item) for _ in range(count)]


@when("it changes and {count:d} machines ask for the change")
def many_ask_for_change(context: Context, count: int) -> None:
    context.item = _configuration(len(context.item.spec["routes"]), 2)
    change = Change(context.item, False)
    context.encodings += [context.encoder.encode_change(change) for _ in range(count)]


def _distinct(context: Context) -> int:
    return len({id(one) for one in context.encodings})


@then("it was encoded once, in under {limit:d} bytes")
def encoded_once(context: Context, limit: int) -> None:
    assert _distinct(context) == 1
    assert len(context.encodings[0].content) < limit, len(context.encodings[0].content)
    assert decode_object(context.encodings[0]) == context.item


@then("it was encoded twice, and each machine got what the store has")
def encoded_twice(context: Context) -> None:
    assert _distinct(context) == 2
    assert decode_changes([context.encodings[-1]]) == [Change(context.item, False)]


class _UnresponsiveStore:
    """A store that answers only while ``is_up`` is set, and counts the requests that fail."""

    def __init__(self) -> None:
        self.asked = 0
        self.is_up = True
        self.answered: set[str] = set()

    def _answer(self, kind: str) -> None:
        eventlet.sleep(0.01)
        if not self.is_up:
            self.asked += 1
            raise ObjectStoreError(kind)
        self.answered.add(kind)

    def list(self, kind: str, timeout_s: float, allow_stale: bool = False) -> Listing:
        """Return an empty list if the store answers."""
        self._answer(kind)
        return Listing([], 1)

    def watch(self, kind: str, revision: int, wait_s: float) -> Changes:
        """Return no changes if the store answers."""
        self._answer(kind)
        eventlet.sleep(0.2)
        self._answer(kind)
        return Changes([], revision)

    def interrupt_watches(
        self, opened_before_s: float = float("inf"), kind: str | None = None
    ) -> None:
        """Interrupt nothing."""


KINDS = ("config", "servers", "groups", "retirements")


@given("a machine without readers whose store does not answer")
def without_readers(context: Context) -> None:
    context.unresponsive = _UnresponsiveStore()
    log = DecisionLog("edge-0")
    context.store = StoreClient("edge-0", "a", context.unresponsive, None, (), log, time.monotonic)
    # It has been running long enough to know that there is no reader.
    context.store._started_at -= 10.0
    context.store._last_answer_at -= 10.0


@when("it follows 4 kinds for 4 s")
def follows_kinds(context: Context) -> None:
    log = DecisionLog("edge-0")
    for kind in KINDS:
        KindFollower(context.store, kind, lambda items: None, lambda change: None, log).start()
    eventlet.sleep(0.1)
    context.unresponsive.is_up = False
    eventlet.sleep(4.0)


@then("the store was asked at most {most:d} times")
def asked_at_most(context: Context, most: int) -> None:
    assert 1 <= context.unresponsive.asked <= most, context.unresponsive.asked


@when("the store answers again")
def answers_again(context: Context) -> None:
    context.unresponsive.answered.clear()
    context.unresponsive.is_up = True


@then("all 4 kinds are followed again within {limit:f} s")
def followed_again(context: Context, limit: float) -> None:
    eventlet.sleep(limit)
    assert context.unresponsive.answered == set(KINDS), context.unresponsive.answered
