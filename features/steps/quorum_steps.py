"""Steps about which replicas an operation of the record store asks."""

import time
from collections.abc import Callable

import eventlet
from behave import given, then, when
from behave.runner import Context

from yarrowwall.messages.replicated import (
    GroupView,
    InstallView,
    KeysReply,
    Member,
    ReadOwner,
    RecordsReply,
    ReplyStatus,
    StoredRecord,
    WriteRecords,
)
from yarrowwall.replication.exceptions import NoQuorumError
from yarrowwall.replication.group_views import GroupViews
from yarrowwall.replication.quorum_client import QuorumClient

OWN_ZONE = "zone-a"
#: A zone group whose writes go to three disks, or to both if it has two.
ZONE_GROUP = 3000
#: The clock is fixed, so that the load of the machine does not affect the results.
NOW_S = 100.0


class ScriptedLink:
    """A link whose replica answers every request, is silent, or is unreachable.

    :ivar failures_left: number of further requests that fail.
    :ivar view: the view that the replica knows; None for the view of each request.
    """

    def __init__(self) -> None:
        self.asked: list[WriteRecords | ReadOwner | InstallView] = []
        self.is_silent = False
        self.is_down = False
        self.failures_left = 0
        self.view: GroupView | None = None

    def post(
        self,
        message: WriteRecords | ReadOwner | InstallView,
        completion: Callable[[object | None], None],
    ) -> int:
        self.asked.append(message)
        is_failed = self.is_down or self.failures_left > 0
        self.failures_left = max(0, self.failures_left - 1)
        if not self.is_silent:
            completion(None if is_failed else self._reply(message))
        return len(self.asked)

    def _reply(
        self, message: WriteRecords | ReadOwner | InstallView
    ) -> RecordsReply | KeysReply | None:
        if isinstance(message, InstallView):
            self.view = message.view
            return RecordsReply(ReplyStatus.OK, True, [], None)
        status, newer = ReplyStatus.OK, None
        if self.view is not None and message.epoch < self.view.epoch:
            status, newer = ReplyStatus.STALE, self.view
        elif self.view is not None and message.epoch > self.view.epoch:
            status = ReplyStatus.BEHIND
        if isinstance(message, ReadOwner):
            return KeysReply(status, True, [], [], [], "", newer)
        return RecordsReply(status, True, [], newer)

    def forget(self, number: int, is_late: bool = False) -> None:
        """Do nothing, since no reply is pending here."""


class ScriptedLinks:
    """Links by address."""

    def __init__(self) -> None:
        self.by_address: dict[str, ScriptedLink] = {}

    def get(self, address: str) -> ScriptedLink:
        return self.by_address.setdefault(address, ScriptedLink())


def members(first: int, count: int) -> list[Member]:
    return [
        Member(f"s{n}", f"d{n}", f"a{n}", OWN_ZONE if n == 0 else f"zone-{n % 2}")
        for n in range(first, first + count)
    ]


def set_up(context: Context, view: GroupView) -> None:
    context.links = ScriptedLinks()
    views = GroupViews()
    views.update(view)
    for member in [*view.members, *view.joining]:
        context.links.get(member.address)
    context.view = view
    context.client = QuorumClient(OWN_ZONE, views, context.links, lambda: NOW_S)
    context.own = context.links.get("a0")


def record(number: int) -> StoredRecord:
    return StoredRecord(f"key-{number}", 1, "", "", 60.0, 0, b"")


@given("a group of {count:d} replicas, one of them in the own zone")
def group(context: Context, count: int) -> None:
    set_up(context, GroupView(0, 1, members(0, count), []))


@given("a group of {count:d} replicas that is being replaced by {others:d} others")
def changing_group(context: Context, count: int, others: int) -> None:
    set_up(context, GroupView(0, 2, members(0, count), members(count, others)))


@given("the replica of the own zone is silent")
def own_silent(context: Context) -> None:
    context.own.is_silent = True


@given("the connection to the replica of the own zone fails")
def own_down(context: Context) -> None:
    context.own.is_down = True


@given("all replicas but that of the own zone are silent")
def others_silent(context: Context) -> None:
    for link in context.links.by_address.values():
        link.is_silent = link is not context.own


@when("{count:d} records are written")
def written(context: Context, count: int) -> None:
    waited: list[bool] = []
    # This greenthread runs only if a write waits for something.
    eventlet.spawn_n(waited.append, True)
    for number in range(count):
        context.client.write(0, [record(number)])
    context.has_waited = bool(waited)
    context.count = count


@when("a record is written within {limit:d} ms, it fails without a quorum")
def not_written(context: Context, limit: int) -> None:
    began = time.monotonic()
    try:
        context.client.write(0, [record(0)], timeout=limit / 1000.0)
    except NoQuorumError:
        assert (time.monotonic() - began) * 1000.0 >= 0.9 * limit
        return
    raise AssertionError("it was written")


@then("each was sent to {count:d} replicas, and always to the one of the own zone")
def sent_to(context: Context, count: int) -> None:
    asked = sum(len(link.asked) for link in context.links.by_address.values())
    assert asked == count * context.count, asked
    assert len(context.own.asked) == context.count


@then("every replica got some")
def all_got(context: Context) -> None:
    assert all(link.asked for link in context.links.by_address.values())


@then("the writes waited for nothing")
def waited_for_nothing(context: Context) -> None:
    assert not context.has_waited


@then("the writes waited for it")
def waited_for_it(context: Context) -> None:
    assert context.has_waited


@then("the silent replica was asked once")
def asked_once(context: Context) -> None:
    assert len(context.own.asked) == 1, len(context.own.asked)


@then("a majority of the old and of the new replicas got it")
def both_majorities(context: Context) -> None:
    got = {address for address, link in context.links.by_address.items() if link.asked}
    assert len(got & {"a0", "a1", "a2"}) >= 2, got
    assert len(got & {"a3", "a4", "a5"}) >= 2, got


@given("the group has a later view without its last replica, which is silent")
def later_view(context: Context) -> None:
    last = context.view.members[-1]
    later = GroupView(0, 2, context.view.members[:-1], [])
    for address, link in context.links.by_address.items():
        link.is_silent = address == last.address
        link.view = later


@given("its last replica is silent and the one of the own zone does not know the view")
def own_replica_behind(context: Context) -> None:
    last_silent(context)
    context.own.view = GroupView(0, 0, context.view.members, [])


@given("a zone group of {count:d} replicas that must both store a write")
def zone_group(context: Context, count: int) -> None:
    set_up(context, GroupView(ZONE_GROUP, 1, members(0, count), []))


@given("the connection to the replica of the own zone fails twice")
def own_fails_twice(context: Context) -> None:
    context.own.failures_left = 2


@given("the last replica is silent")
def last_silent(context: Context) -> None:
    context.links.get(context.view.members[-1].address).is_silent = True


@when("a record is written within {limit:d} ms")
def written_within(context: Context, limit: int) -> None:
    began = time.monotonic()
    context.client.write(context.view.group, [record(0)], timeout=limit / 1000.0)
    context.took_s = time.monotonic() - began


@then("it took less than {limit:d} ms")
def took_less(context: Context, limit: int) -> None:
    assert context.took_s * 1000.0 < limit, context.took_s


@then("its check fails within {limit:d} ms")
def check_fails(context: Context, limit: int) -> None:
    try:
        context.client.check(context.view.group, limit / 1000.0)
    except NoQuorumError:
        return
    raise AssertionError("the check passed")


@then("it can be read")
def can_be_read(context: Context) -> None:
    context.client.read_amounts(context.view.group, "")


@then("the last replica was asked once")
def last_asked_once(context: Context) -> None:
    asked = context.links.get(context.view.members[-1].address).asked
    assert len(asked) == 1, len(asked)
