"""Steps about the replicated record store."""

import socket
import tempfile
import time
from pathlib import Path

import eventlet
from behave import given, then, when
from behave.runner import Context

from features.support.record_model import member, run_record_schedules
from features.support.record_mutants import MUTANTS
from features.support.replica_states import check_walks
from yarrowwall.decisions import DecisionLog
from yarrowwall.messages.replicated import (
    AskStatus,
    GroupView,
    RecordsKept,
    ReplyStatus,
    StatusReply,
    StoredRecord,
    WriteRecords,
)
from yarrowwall.replication.exceptions import LinkDownError
from yarrowwall.replication.planner import next_view
from yarrowwall.replication.replica import RecordReplica
from yarrowwall.replication.rpc import Link, serve_requests
from yarrowwall.replication.views import disk_ids, has_read_quorum, has_write_quorum
from yarrowwall.storage.segments import SegmentStore


@given('the record store\'s mutant "{name}"')
def use_record_mutant(context: Context, name: str) -> None:
    patcher = MUTANTS[name]()
    patcher.start()
    context.add_cleanup(patcher.stop)


@then("{count:d} random record schedules keep budgets and complete records")
def record_schedules_hold(context: Context, count: int) -> None:
    granted = run_record_schedules(count).granted
    assert granted > count / 2, f"only {granted} reservations were granted"


@then("{count:d} random record schedules with doubled requests keep them as well")
def duplicated_schedules_hold(context: Context, count: int) -> None:
    granted = run_record_schedules(count, duplicates=True).granted
    assert granted > count / 2, f"only {granted} reservations were granted"


@then("{count:d} random record schedules with retirements keep them as well")
def retiring_schedules_hold(context: Context, count: int) -> None:
    totals = run_record_schedules(count, with_retirements=True)
    assert totals.granted > count / 3, f"only {totals.granted} reservations were granted"
    assert totals.retired > count, f"only {totals.retired} retirements were completed"


@then("some of {count:d} random record schedules with retirements break a promise")
def retiring_schedules_break(context: Context, count: int) -> None:
    try:
        run_record_schedules(count, with_retirements=True)
    except AssertionError:
        return
    raise AssertionError("the mutant was not caught")


@then("some of {count:d} random record schedules break a promise")
def record_schedules_break(context: Context, count: int) -> None:
    try:
        run_record_schedules(count)
    except AssertionError:
        return
    raise AssertionError("the mutant was not caught")


@then("{count:d} random walks of a replica are restored, also from snapshots of earlier releases")
def walks_are_restored(context: Context, count: int) -> None:
    counted = check_walks(count)
    assert counted > 10 * count, f"only {counted} states counted for reads"


@then("some of {count:d} random walks of a replica are not restored")
def walks_are_not_restored(context: Context, count: int) -> None:
    try:
        check_walks(count)
    except AssertionError:
        return
    raise AssertionError("the mutant was not caught")


@then(
    "{count:d} random record schedules with compactions keep them as well, "
    "and end with a read quorum"
)
def compacting_schedules_hold(context: Context, count: int) -> None:
    granted = run_record_schedules(count, with_compaction=True).granted
    assert granted > count / 3, f"only {granted} reservations were granted"


@then("some of {count:d} random record schedules with compactions break a promise")
def compacting_schedules_break(context: Context, count: int) -> None:
    try:
        run_record_schedules(count, with_compaction=True)
    except AssertionError:
        return
    raise AssertionError("the mutant was not caught")


def _views() -> tuple[GroupView, GroupView, GroupView]:
    old = [member("a1"), member("b1"), member("c1")]
    new = [member("a1"), member("b1"), member("d1")]
    return GroupView(0, 1, old, []), GroupView(0, 2, old, new), GroupView(0, 3, new, [])


def install_view(replica: RecordReplica, view: GroupView) -> None:
    for record in replica.install_view(view):
        replica.mark_durable(record)


@given('a group of "a1", "b1" and "c1" whose third replica is replaced by "d1"')
def replaced_group(context: Context) -> None:
    context.old_view, joint, context.new_view = _views()
    context.replicas = {disk: RecordReplica(disk[0], disk) for disk in ("a1", "b1", "c1", "d1")}
    for disk in ("a1", "b1", "c1"):
        install_view(context.replicas[disk], context.old_view)
    # "c1" does not learn of the change.
    for disk in ("a1", "b1", "d1"):
        replica = context.replicas[disk]
        install_view(replica, joint)
        mark = replica.synchronisation_mark(joint)
        assert mark is not None
        replica.mark_durable(mark)
        install_view(replica, context.new_view)


@when('a write that began before the change reaches "c1" and "b1"')
def late_write(context: Context) -> None:
    record = StoredRecord("budget/late", 0, "program", "", 60.0, 1, b"")
    context.replies = {}
    for disk in ("c1", "b1"):
        request = WriteRecords(0, context.old_view.epoch, disk, [record])
        context.replies[disk] = context.replicas[disk].handle(request, 0.0).reply
    context.acknowledged = {
        disk for disk, reply in context.replies.items() if reply.status is ReplyStatus.OK
    }


@then("it is not complete")
def not_complete(context: Context) -> None:
    assert not has_write_quorum(context.old_view, context.acknowledged)


@then("its sender gets the newer view")
def newer_view_sent(context: Context) -> None:
    assert context.replies["b1"].view == context.new_view


@then("it is complete but a read quorum of the new group does not know it")
def complete_but_unknown(context: Context) -> None:
    assert has_write_quorum(context.old_view, context.acknowledged)
    responders = {"a1", "d1"}
    assert has_read_quorum(context.new_view, responders)
    assert all(context.replicas[disk].table.get("budget/late") is None for disk in responders)


@given("a replica whose disk fails for a while")
def refusing_disk(context: Context) -> None:
    context.replica = RecordReplica("a", "a1")
    install_view(context.replica, _views()[0])


@when("a record is written, its write fails, and it is written again")
def write_twice(context: Context) -> None:
    record = StoredRecord("turn/t", 1, "", "", 60.0, 0, b"text")
    request = WriteRecords(0, 1, "a1", [record])
    first = context.replica.handle(request, 0.0)
    for log_record in first.persist:
        context.replica.mark_failed(log_record)
    context.second = context.replica.handle(request, 0.0)


@then("the second write puts the record on disk")
def written_again(context: Context) -> None:
    kept = [record.key for log in context.second.persist for record in log.records]
    assert kept == ["turn/t"], kept


def _commit(number: int) -> list[RecordsKept]:
    return [
        RecordsKept([StoredRecord(f"turn/{number}-{part}", 1, "", "", 60.0, 0, b"x" * 40)])
        for part in range(4)
    ]


def _read_keys(folder: Path) -> list[str]:
    return [kept.key for log in SegmentStore(folder).read() for kept in log.records]


@given("a record log of {count:d} commits of several records")
def record_log(context: Context, count: int) -> None:
    temporary = tempfile.TemporaryDirectory()
    context.add_cleanup(temporary.cleanup)
    context.folder = Path(temporary.name)
    store = SegmentStore(context.folder)
    for number in range(count):
        store.append(_commit(number))


@when("the last commit is torn in its middle")
def tear_last_commit(context: Context) -> None:
    path = next(context.folder.glob("*.segment"))
    data = bytearray(path.read_bytes())
    length = len(data) // 3
    # A power failure may keep the end of an unsynced write and lose its middle.
    data[-length + 60 : -length + 90] = bytes(30)
    path.write_bytes(bytes(data))


@then("the records of {count:d} commits are read")
def commits_read(context: Context, count: int) -> None:
    assert len(_read_keys(context.folder)) == 4 * count


@then("a commit after that is read as well")
def commit_after(context: Context) -> None:
    store = SegmentStore(context.folder)
    before = len(list(store.read()))
    store.append(_commit(9))
    assert len(list(SegmentStore(context.folder).read())) == before + 4


@given('a group of "a1", "b1" and "c1" with "d1" registered in addition')
def group_with_candidate(context: Context) -> None:
    context.view = _views()[0]
    context.registered = {name: member(f"{name}1") for name in "abcd"}


@given('a group of "a1" and "b1" with no machine registered in addition')
def group_of_two(context: Context) -> None:
    context.registered = {name: member(f"{name}1") for name in "ab"}
    context.view = GroupView(0, 3, list(context.registered.values()), [])


def _next(context: Context, silent: str = "", retiring: str = "") -> str | None:
    found = next_view(
        context.view,
        context.registered,
        set("abcd") - set(silent),
        set(retiring),
        {"a1", "b1", "c1"},
        3,
    )
    return None if found is None else ",".join(sorted(m.disk_id for m in found.joining))


@given('a group of "{members}" whose target size is {size:d}, with "{free}" registered in addition')
@given('a group of "{members}" whose target size is {size:d}, with "" registered in addition')
def group_of_size(context: Context, members: str, size: int, free: str = "") -> None:
    own = [member(disk_id) for disk_id in members.split(",")]
    others = [member(free)] if free else []
    context.view = GroupView(0, 3, own, [])
    context.registered = {one.node_id: one for one in own + others}
    context.size = size


@then('with "{retiring}" being retired and "{silent}" silent its next members are "{members}"')
@then('with "{retiring}" being retired and "" silent its next members are "{members}"')
def retirement_leaves(context: Context, retiring: str, members: str, silent: str = "") -> None:
    alive = set(context.registered) - {silent}
    busy = set(disk_ids(context.view.members))
    leaving = set(retiring.split(","))
    found = next_view(context.view, context.registered, alive, leaving, busy, context.size)
    disks = disk_ids(found.joining if found is not None else context.view.members)
    assert ",".join(sorted(disks)) == members, disks


@then('with "{name}" silent the group becomes "{members}"')
def silent_replaced(context: Context, name: str, members: str) -> None:
    assert _next(context, silent=name) == members


@then('the group of two stays with "{name}" silent')
def one_silent(context: Context, name: str) -> None:
    assert _next(context, silent=name) is None


@then('with "{first}" and "{second}" silent the group stays')
def two_silent(context: Context, first: str, second: str) -> None:
    assert _next(context, silent=first + second) is None


@then('with "{name}" being retired the group becomes "{members}"')
def retiring_replaced(context: Context, name: str, members: str) -> None:
    assert _next(context, retiring=name) == members


@then('with "{name}" on a new disk the group becomes "{members}"')
def wiped_replaced(context: Context, name: str, members: str) -> None:
    context.registered[name] = member(f"{name}2")
    context.registered.pop("d", None)
    assert _next(context) == members


@given("a link to a port without a listener")
def link_to_silent_port(context: Context) -> None:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        context.port = probe.getsockname()[1]
    context.link = Link(f"127.0.0.1:{context.port}", DecisionLog("edge-0"), time.monotonic)


@when("requests go over the link every {pause:f} s for {seconds:f} s")
def requests_never_cease(context: Context, pause: float, seconds: float) -> None:
    def ask() -> None:
        while True:
            context.link.post(AskStatus(0), lambda reply: None)
            eventlet.sleep(pause)

    asking = eventlet.spawn(ask)
    context.add_cleanup(asking.kill)
    eventlet.sleep(seconds)


@when("a replica begins to listen there")
def replica_listens(context: Context) -> None:
    listener = eventlet.listen(("127.0.0.1", context.port))
    status = StatusReply("a", "a1", 1, True, 1)
    log = DecisionLog("a")
    serving = eventlet.spawn(serve_requests, listener, lambda request, reply: reply(status), log)
    context.add_cleanup(listener.close)
    context.add_cleanup(serving.kill)


@then("a request over the link is answered within {seconds:f} s")
def answered_within(context: Context, seconds: float) -> None:
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            context.link.call(AskStatus(0), 0.1)
        except LinkDownError:
            eventlet.sleep(0.01)
            continue
        context.link.close()
        return
    raise AssertionError(f"not reached within {seconds} s")
