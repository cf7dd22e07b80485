"""Steps about groups of any size: proofs of absence, and machines that are gone."""

import contextlib
import json
import shutil
import signal
import tempfile
import time
from pathlib import Path
from typing import Any
from unittest.mock import patch

import msgspec
from behave import given, then, when
from behave.runner import Context

from features.support.group_search import (
    MAX_EVENTS,
    QUORUMS,
    SYSTEM,
    stuck_groups,
    unproved_absences,
)
from features.support.platform_scripts import world
from features.support.processes import wait_until
from features.support.record_model import member
from features.support.replacement_schedules import run_replacement_schedules
from yarrowwall.cli.explain import find_trace
from yarrowwall.decisions import Decision
from yarrowwall.messages.replicated import GroupView, Member, StatusReply
from yarrowwall.replication import planner
from yarrowwall.replication.exceptions import NoQuorumError
from yarrowwall.replication.group_notices import GroupNotices
from yarrowwall.replication.peers import HEARTBEAT_SECONDS, ReplicaPeers
from yarrowwall.replication.planner import is_released, missing_members, next_view
from yarrowwall.replication.views import disk_ids


@then('over each change of a group of 1 to 7 "{quorums}" prove an absence')
def absences_are_proved(context: Context, quorums: str) -> None:
    assert not unproved_absences(QUORUMS[quorums])


@then('"{quorums}" do not for groups of 2, 4 and 6')
def absences_are_not_proved(context: Context, quorums: str) -> None:
    found = unproved_absences(QUORUMS[quorums])
    before = {name.partition(" ")[0] for name in found if "before" in name}
    assert before == {"2", "4", "6"}, found


@then(
    "{count:d} random schedules of replacements lose no record, prove no false absence, end whole"
)
def replacements_hold(context: Context, count: int) -> None:
    totals = run_replacement_schedules(count)
    assert min(totals.handed_over, totals.lost) > count / 2, totals
    assert min(totals.small_groups, totals.absences) > count and totals.taken_away, totals


@then("some of {count:d} random schedules of replacements break a promise")
def replacements_break(context: Context, count: int) -> None:
    try:
        run_replacement_schedules(count)
    except AssertionError:
        return
    raise AssertionError("the mutant was not caught")


@when("a chain is read within {timeout_ms:d} ms, it fails without a quorum")
def chain_is_uncertain(context: Context, timeout_ms: int) -> None:
    try:
        found = context.client.read_chain(0, "turn/x", [], timeout=timeout_ms / 1000)
    except NoQuorumError:
        return
    raise AssertionError(found)


@when(
    "the presence of an owner's records is read within {timeout_ms:d} ms, it fails without a quorum"
)
def presence_is_uncertain(context: Context, timeout_ms: int) -> None:
    try:
        found = context.client.read_amounts(
            0, "stream/x", timeout=timeout_ms / 1000, proves_absence=True
        )
    except NoQuorumError:
        return
    raise AssertionError(found)


@then("a chain that is read has no record")
def chain_is_unknown(context: Context) -> None:
    assert context.client.read_chain(0, "turn/x", [], timeout=1.0) == {}


@then("no order of up to {count:d} events leaves a group of three without service")
def no_stuck_group(context: Context, count: int) -> None:
    assert count == MAX_EVENTS
    found = stuck_groups(SYSTEM)
    assert not found, "\n".join(found[:20])


@then('some do with a planner that "waits for silent members for good"')
def some_stuck_groups(context: Context) -> None:
    found = stuck_groups(SYSTEM._replace(forgets_absent=False))
    assert any("taken away" in order and "loses its disk" in order for order in found), found


@then('some do with machines that "end without handing over"')
def some_stuck_without_handover(context: Context) -> None:
    found = stuck_groups(SYSTEM._replace(hands_over=False))
    assert found and all("right after" in order for order in found), found


@then('some do with a planner that "lets retiring machines go that lost their disks"')
def some_stuck_with_lost_copies(context: Context) -> None:
    with patch.object(planner, "_new_disks", lambda view, registered, alive: []):
        found = stuck_groups(SYSTEM)
    assert found and all("loses its disk" in order for order in found), found


@then('a machine "{node}" with the disk "{disk}" that is being retired {may} go')
def retired_may_go(context: Context, node: str, disk: str, may: str) -> None:
    own = member(disk)
    assert own.node_id == node
    assert is_released([context.view], own, "zone-disk") == (may == "may")


@then('with "{silent}" silent for long its next members are "{members}"')
def absent_member(context: Context, silent: str, members: str) -> None:
    gone = set(silent.split(","))
    alive = set(context.registered) - gone
    busy = set(disk_ids(context.view.members))
    found = next_view(context.view, context.registered, alive, set(), busy, context.size, gone)
    disks = disk_ids(found.joining if found is not None else context.view.members)
    assert ",".join(sorted(disks)) == members, disks


# Machines that end


@given("{count:d} further replicas")
def further_replicas(context: Context, count: int) -> None:
    for number in range(3, 3 + count):
        name = f"storage-{number}"
        world(context).start_machine(name, is_gateway=False)
        wait_until(
            lambda name=name: world(context).store.get("yarrowwall-replicas", name) is not None,
            "it is registered",
        )


@when("storage machine {number:d} gets SIGTERM and is gone with its disk within {limit:d} s")
def machine_is_gone(context: Context, number: int, limit: int) -> None:
    name = f"storage-{number}"
    world(context).kill(name, signal.SIGTERM).wait(timeout=limit)
    shutil.rmtree(world(context).folder / name)


@when(
    "all storage machines get SIGTERM, and start again {pause_s:f} s after the last has ended"
    " within {limit:d} s"
)
def restart_after_end(context: Context, pause_s: float, limit: int) -> None:
    names = [name for name in world(context).processes if name.startswith("storage")]
    ending = [world(context).kill(name, signal.SIGTERM) for name in names]
    ends_at = time.monotonic() + limit
    for process in ending:
        process.wait(timeout=ends_at - time.monotonic())
    time.sleep(pause_s)
    for name in names:
        world(context).start_machine(name, is_gateway=False)


@then("the group has three members within {limit:d} s")
def three_members(context: Context, limit: int) -> None:
    started = time.monotonic()

    def is_whole() -> bool:
        view = world(context).store.get("yarrowwall-groups", "all")["spec"]["groups"][0]
        return not view["joining"] and len(view["members"]) == 3

    wait_until(is_whole, "the group has three members")
    assert time.monotonic() - started < limit


# Peers


class _Clock:
    def __init__(self) -> None:
        self.now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


class _Link:
    """A link to a machine that answers at once, or never."""

    def __init__(self, reply: StatusReply | None) -> None:
        self._reply = reply

    def post(self, message: object, completion: Any) -> int:
        if self._reply is not None:
            completion(self._reply)
        return 1

    def forget(self, number: int, is_late: bool = False) -> None:
        """Do nothing."""


class _Links:
    def get(self, address: str) -> _Link:
        reply = StatusReply("b", "b1", 1, True, 1) if address == member("b1").address else None
        return _Link(reply)


class _StopError(Exception):
    """Ends the loop of a machine that asks others."""


@given("a machine that asks two others, one of which answers")
def asking_machine(context: Context) -> None:
    context.clock = _Clock()
    links: Any = _Links()
    context.peers = ReplicaPeers("a", "zone-a", links, context.clock)
    for disk in ("a1", "b1", "c1"):
        one = member(disk)
        context.peers.note_registration(one.node_id, one, None)


def ask(context: Context, pauses_s: list[float]) -> None:
    """Let the machine ask the others, with pauses that end after the last one."""
    left = list(pauses_s)

    def sleep(seconds: float) -> None:
        if not left:
            raise _StopError
        context.clock.now_s += left.pop(0)

    with (
        patch("yarrowwall.replication.peers.eventlet.sleep", sleep),
        patch("yarrowwall.replication.peers.eventlet.spawn_after", lambda *_, **__: None),
        contextlib.suppress(_StopError),
    ):
        context.peers._run()


@when("{seconds:f} s pass")
def time_passes(context: Context, seconds: float) -> None:
    rounds = round(seconds / HEARTBEAT_SECONDS)
    ask(context, [seconds / rounds] * rounds)


@when("the machine is delayed by {seconds:d} s")
def machine_is_delayed(context: Context, seconds: int) -> None:
    ask(context, [float(seconds)])


@then("nobody is absent")
def nobody_absent(context: Context) -> None:
    assert context.peers.absent() == set(), context.peers.absent()


@then("the other one is absent")
def other_absent(context: Context) -> None:
    assert context.peers.absent() == {"c"}, context.peers.absent()


# Groups that wait


class _Log:
    def __init__(self) -> None:
        self.found: list[Any] = []

    def write(self, decision: Decision) -> None:
        self.found.append(decision)


@given("a group of three of which one member is there with its disk")
def waiting_group(context: Context) -> None:
    context.lines = _Log()
    log: Any = context.lines
    context.notices = GroupNotices("a", log)
    members: list[Member] = [member(disk) for disk in ("a1", "b1", "c1")]
    context.view = GroupView(0, 3, members, [])
    context.registered = {one.node_id: one for one in members}


def note(context: Context, alive: str, now_s: float) -> None:
    missing = missing_members(context.view, context.registered, set(alive))
    context.notices.note_missing(context.view, missing, now_s)


@when("it has waited for {seconds:d} s")
def has_waited(context: Context, seconds: int) -> None:
    for tenth in range(10 * seconds + 20):
        note(context, "a", 50.0 + tenth / 10)


@then('it is logged once that it waits for "{names}"')
def wait_logged(context: Context, names: str) -> None:
    (line,) = context.lines.found
    assert line.missing == names and 5.0 <= line.waited < 5.2, line


@when("one more member is there")
def one_more(context: Context) -> None:
    note(context, "ab", 60.0)


@then("it is logged that the wait is over")
def wait_over(context: Context) -> None:
    assert context.lines.found[-1].missing == "" and len(context.lines.found) == 2


def explained_kinds(context: Context, begun_s: int, ended_s: int) -> list[str]:
    """Return the kinds of the lines that explain shows for a request at another machine."""
    request = [
        {"time": float(at), "node": "edge", "kind": "AttemptAdmitted", "attempt": "t"}
        for at in (begun_s, ended_s)
    ]
    # The wait began at 50 s, was logged at 55 s and ended at 60 s.
    waits = [
        {"time": at, "node": "a", "kind": type(line).__name__} | msgspec.structs.asdict(line)
        for at, line in zip((55.0, 60.0), context.lines.found, strict=True)
    ]
    with tempfile.NamedTemporaryFile("w", suffix=".log") as log:
        log.write("".join(json.dumps(line) + "\n" for line in [*request, *waits]))
        log.flush()
        found = find_trace("t", (Path(log.name),))
    return [line["kind"] for line in found if line["kind"] == "GroupWaits"]


@then(
    "explain shows the wait for a request from {first:d} s to {first_end:d} s"
    " and from {second:d} s to {second_end:d} s"
)
def wait_explained(
    context: Context, first: int, first_end: int, second: int, second_end: int
) -> None:
    for begun_s, ended_s in ((first, first_end), (second, second_end)):
        assert len(explained_kinds(context, begun_s, ended_s)) == 2, (begun_s, ended_s)


@then("not for one from {first:d} s to {first_end:d} s or from {second:d} s to {second_end:d} s")
def wait_not_explained(
    context: Context, first: int, first_end: int, second: int, second_end: int
) -> None:
    for begun_s, ended_s in ((first, first_end), (second, second_end)):
        assert not explained_kinds(context, begun_s, ended_s), (begun_s, ended_s)
