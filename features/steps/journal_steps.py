"""Steps about the journal: replicas, owners and their segment files."""

import tempfile
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

from features.support.journal_model import NAMES, JournalSchedule, run_schedules
from features.support.mutants import applied
from yarrowwall.messages.codec import encode
from yarrowwall.messages.entries import EndReason, ProgramEnded, ProgramOpened
from yarrowwall.messages.journal import (
    Append,
    AskCopied,
    Ballot,
    Prepare,
    ProgramCopied,
    ReplicaCopied,
)
from yarrowwall.messages.peers import Document
from yarrowwall.messages.records import BallotPromised
from yarrowwall.standalone.core.configuration.models import SHARD_MAP
from yarrowwall.standalone.core.effects import PersistThenSend
from yarrowwall.standalone.core.exceptions import InvariantError
from yarrowwall.standalone.core.journal.proposer import ProgramLog
from yarrowwall.standalone.core.journal.reconfiguration import LogCopier
from yarrowwall.standalone.core.journal.replica import JournalReplica
from yarrowwall.standalone.core.journal.service import JournalService
from yarrowwall.standalone.core.limits import Limits
from yarrowwall.standalone.core.outbox import Outbox
from yarrowwall.standalone.core.program.journaled import JournaledProgram
from yarrowwall.storage.exceptions import CorruptSegmentError
from yarrowwall.storage.segments import SegmentStore


@given('the mutant "{name}"')
def use_mutant(context: Context, name: str) -> None:
    context.mutant_name = name
    mutant = applied(name)
    mutant.__enter__()
    context.add_cleanup(mutant.__exit__, None, None, None)


@then("{count:d} random journal schedules keep every chosen entry")
def schedules_hold(context: Context, count: int) -> None:
    run_schedules(count)


@then("some of {count:d} random journal schedules break an invariant")
def schedules_break(context: Context, count: int) -> None:
    try:
        run_schedules(count)
    except (AssertionError, InvariantError):
        return
    raise AssertionError("the mutant was not caught")


def take_over(context: Context, counter: int, names: str) -> ProgramLog:
    """Return a new owner that has recovered the log from some replicas."""
    schedule: JournalSchedule = context.schedule
    owner = ProgramLog("p", schedule.groups, Ballot(counter, "owner"))
    for name in names:
        request = Prepare("p", owner.ballot, 1)
        owner.handle_promise(schedule.replicas[name].handle_prepare(request).answer)
    return owner


def append(context: Context, owner: ProgramLog, body: bytes, names: str) -> None:
    """Append an entry that reaches only some replicas."""
    for message in owner.append([body]):
        if message.node_id in names and isinstance(message.message, Append):
            result = context.schedule.replicas[message.node_id].handle_append(message.message)
            context.records.append((message.node_id, result.record))


@given('an owner whose two entries reached only replica "a"')
def first_owner(context: Context) -> None:
    context.schedule, context.records = JournalSchedule(), []
    owner = take_over(context, 1, "ab")
    append(context, owner, b"first", "a")
    append(context, owner, b"second", "a")


@given('a second owner whose one entry reached replicas "a" and "b"')
def second_owner(context: Context) -> None:
    owner = take_over(context, 2, "bc")
    append(context, owner, b"other", "ab")
    context.expected = list(owner.entries)


@when('a third owner recovers the log from replicas "a" and "c"')
def third_owner(context: Context) -> None:
    context.recovered = take_over(context, 3, "ac")


@then("its log is the second owner's log")
def log_is_second(context: Context) -> None:
    assert context.recovered.entries == context.expected, context.recovered.entries


@then("its log is not the second owner's log")
def log_is_mixed(context: Context) -> None:
    assert context.recovered.entries != context.expected, "the mutant was not caught"


@when('replica "a" is restored from its records')
def restore_replica(context: Context) -> None:
    replica = JournalReplica("a")
    replica.restore(record for name, record in context.records if name == "a")
    context.schedule.replicas["a"] = replica


@then("it promises its two entries to the next owner")
def promises_entries(context: Context) -> None:
    assert take_over(context, 2, "ac").entries == [b"first", b"second"]


@given("a data folder with {count:d} durable records")
def folder_with_records(context: Context, count: int) -> None:
    temporary = tempfile.TemporaryDirectory()
    context.add_cleanup(temporary.cleanup)
    context.folder = Path(temporary.name)
    context.store = SegmentStore(context.folder)
    for number in range(count):
        context.store.append([BallotPromised("p", Ballot(number, NAMES[0]))])


def segment(context: Context) -> Path:
    return next(context.folder.glob("*.segment"))


@when("the last record is torn")
def tear(context: Context) -> None:
    data = segment(context).read_bytes()
    segment(context).write_bytes(data[:-3])


@then("{count:d} records are read")
def records_read(context: Context, count: int) -> None:
    assert len(list(SegmentStore(context.folder).read())) == count


@when("a byte of the first record is changed")
def damage(context: Context) -> None:
    data = bytearray(segment(context).read_bytes())
    data[15] ^= 1
    segment(context).write_bytes(bytes(data))


@then("reading stops with a clear error")
def reading_stops(context: Context) -> None:
    try:
        list(SegmentStore(context.folder).read())
    except CorruptSegmentError as error:
        assert "byte 0" in str(error), error
        return
    raise AssertionError("a damaged record was read")


@when("the folder is compacted to {count:d} records")
def compact(context: Context, count: int) -> None:
    records = [BallotPromised("p", Ballot(number, "z")) for number in range(count)]
    context.store.compact(records)


@given("a replica with a complete program that ended at {at:d} seconds")
def complete_program(context: Context, at: int) -> None:
    replica = JournalReplica("a")
    entries = [
        encode(ProgramOpened("p", "tenant", "desk", 10, None, 1.0)),
        encode(ProgramEnded("p", EndReason.CALLER, float(at))),
    ]
    replica.handle_append(Append("p", Ballot(1, "o"), 0, entries, 2, 1))
    context.service = JournalService(replica, Limits(), Outbox("a"))
    context.service.start(float(at))


@when("the replica expires its logs at {at:d} seconds")
def expire_logs(context: Context, at: int) -> None:
    assert context.service.due(float(at)) == []


@then("it still has the program's log")
def has_log(context: Context) -> None:
    assert context.service.replica.program_ids() == ["p"]


@then("it has dropped the program's log")
def dropped_log(context: Context) -> None:
    assert context.service.replica.program_ids() == []


@given("a replica that had the log of a program when the shard map changed")
def replica_in_change(context: Context) -> None:
    context.outbox = Outbox("a")
    context.copier = LogCopier("disk-a", context.outbox, lambda program_id: "owner")
    context.copier.begin(2, ["p"])


def ask_whether_copied(context: Context) -> list[object]:
    context.copier.handle_ask("controller", AskCopied(2), Document(SHARD_MAP, 1, b"{}"))
    return context.outbox.take()


@then("it does not say that its logs are copied")
def not_copied(context: Context) -> None:
    assert ask_whether_copied(context) == []


@when("the program's owner says that the log is copied")
def owner_says_copied(context: Context) -> None:
    context.copier.handle_copied(ProgramCopied("p", 2))


@then("it says that its logs are copied, once the map is on its disk")
def copied(context: Context) -> None:
    (effect,) = ask_whether_copied(context)
    assert isinstance(effect, PersistThenSend), effect
    assert effect.message == ReplicaCopied("disk-a", 2), effect


@given("an owner that prepares its ballot and gets no answers")
def preparing_owner(context: Context) -> None:
    context.outbox = Outbox("a")
    groups = JournalSchedule().groups
    context.owner = JournaledProgram("p", groups, Ballot(1, "a"), Limits(), context.outbox)
    context.owner.start(0.0)
    context.outbox.take()


@when("it is asked for a copy every 0.2 seconds for 2 seconds")
def ask_often(context: Context) -> None:
    for step in range(10):
        now = 0.2 * step
        context.owner.copy(now, 2, "b")
        if context.owner.timers.due(now):
            context.owner.retransmit(now)


@then("it has sent its prepare requests again")
def prepared_again(context: Context) -> None:
    sent = [effect.message for effect in context.outbox.take()]
    assert any(isinstance(message, Prepare) for message in sent), sent
