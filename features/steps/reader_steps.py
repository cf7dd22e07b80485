"""Steps about machines that read the platform's store for others."""

import signal
import time
from collections.abc import Callable
from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context

from features.support.platform_scripts import world
from features.support.processes import wait_until
from features.support.reader_model import ends_in_state
from yarrowwall.messages.replicated import Member
from yarrowwall.readers.order import ReaderOrder
from yarrowwall.readers.picture import KindPicture
from yarrowwall.relay.object_store import Change, Changes

SEEDS = range(300)
#: All machines of the scenarios' world stand in one zone, and this is the first by name.
READER = "storage-0"
READERS = ("storage-0", "storage-1", "storage-2")


def _take_without_ends(self: KindPicture, changes: list[Change], revision: int) -> None:
    _take(self, [change for change in changes if not change.is_gone], revision)


_take = KindPicture.take
_changes_since = KindPicture.changes_since


def _pass_over_forgotten(self: KindPicture, revision: int) -> Changes | None:
    return _changes_since(self, max(revision, self.oldest_revision))


def _leave_out_partly_known(self: KindPicture, revision: int) -> Changes | None:
    found = _changes_since(self, revision)
    if found is None:
        return None
    # The revision of an object that is gone is that of its last change before.
    newer = [change for change in found.changes if change.item.revision > revision]
    return Changes(newer, found.revision)


MUTANTS = {
    "the ends of objects are not told": ("take", _take_without_ends),
    "forgotten changes are passed over": ("changes_since", _pass_over_forgotten),
    "a batch that was partly known is left out": ("changes_since", _leave_out_partly_known),
}


@then(
    "{count:d} random histories of changes, followed through two readers, end in the store's state"
)
def histories_end_well(context: Context, count: int) -> None:
    wrong = [seed for seed in range(count) if not ends_in_state(seed)]
    assert not wrong, wrong


@given("readers of which {mutant}")
def mutant_readers(context: Context, mutant: str) -> None:
    context.mutant = patch.object(KindPicture, *MUTANTS[mutant])


@then("some random history followed through two readers ends in another state")
def some_history_fails(context: Context) -> None:
    with context.mutant:
        assert any(not ends_in_state(seed) for seed in SEEDS)


@given('readers "a-1", "a-2", "a-3" of zone "a" and "b-1", "b-2" of zone "b"')
def known_readers(context: Context) -> None:
    names = ("b-2", "a-3", "a-1", "b-1", "a-2")
    context.readers = [Member(name, f"disk-{name}", "127.0.0.1:1", name[0]) for name in names]
    context.order = ReaderOrder("edge-0", "a")
    context.order.replace_all(context.readers)


@then('{count:d} machines of zone "{zone}" all ask "{first}", then "{second}", then "{third}"')
def same_order(
    context: Context, count: int, zone: str, first: str, second: str, third: str
) -> None:
    for number in range(count):
        order = ReaderOrder(f"edge-{number}", zone)
        order.replace_all(context.readers)
        asked = [reader.node_id for reader in order.candidates(0.0)]
        assert asked == [first, second, third], asked


@when('"{reader}" does not answer at {now_s:f} s')
def silent_reader(context: Context, reader: str, now_s: float) -> None:
    context.order.note_silent(reader, now_s)


@then('at {now_s:f} s machines of zone "{zone}" ask "{reader}" first')
def asked_first(context: Context, now_s: float, zone: str, reader: str) -> None:
    assert context.order.candidates(now_s)[0].node_id == reader


@when("readers have been asked for {seconds:d} s")
def readers_asked(context: Context, seconds: int) -> None:
    # Long enough for every machine to have left the store for a reader.
    time.sleep(seconds)


@then('only one machine watches "{kind}" at the store')
def one_watches(context: Context, kind: str) -> None:
    store = world(context).store

    def watching() -> list[str]:
        with store.lock:
            return [name for (name, of), count in store.watching.items() if of == kind and count]

    # Between two watches of the reader there is none.
    wait_until(lambda: watching() == [READER], f"only {READER} watches {kind}")
    seen = [watching() for _ in range(50) if not time.sleep(0.02)]
    assert all(found in ([], [READER]) for found in seen), seen


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
def readers_turned_away(context: Context) -> None:
    for name in READERS:
        world(context).store.turn_away(name)


@when("a configuration is written")
def configuration_written(context: Context) -> None:
    context.version = world(context).publish()


@when("the store forgets its history and a configuration is written")
def forgotten_and_written(context: Context) -> None:
    context.version = world(context).publish()
    world(context).store.forget_history()
