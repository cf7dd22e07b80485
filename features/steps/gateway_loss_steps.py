"""Steps about gateways when a group has lost all copies of its records."""

import os
import time
from dataclasses import replace

import eventlet
from behave import given, then, when
from behave.runner import Context

from features.support.coordinated_group import GroupsStore
from features.support.record_model import member
from yarrowwall import decisions
from yarrowwall.budgets.ledger import ReplicatedLedger
from yarrowwall.decisions import DecisionLog
from yarrowwall.exceptions import StoreUncertainError
from yarrowwall.messages.replicated import GroupView, Member
from yarrowwall.model import Attempt, ProgramContext, RequestKind, Route
from yarrowwall.ports.object_store import StoredObject, StoreTimeoutError
from yarrowwall.replication.group_views import GroupViews
from yarrowwall.replication.loss_checks import LossChecks
from yarrowwall.replication.losses import loss_reason
from yarrowwall.replication.quorum_client import QuorumClient
from yarrowwall.replication.replica import RecordReplica
from yarrowwall.replication.rpc import LinkTable, serve_requests
from yarrowwall.replication.views import ZONE_GROUPS_FROM

ZONE = "zone-a"
ROUTE = Route(
    "talk", "host", "/talk/", RequestKind.STREAM, (), 5.0, 2, 1, True, 600.0, False, False
)


class SilentStore(GroupsStore):
    """A store that does not answer reads."""

    def get(self, kind: str, name: str, timeout_s: float) -> StoredObject | None:
        raise StoreTimeoutError(name)


def _address(context: Context, replica: RecordReplica) -> str:
    """Serve a replica's requests; return its address."""
    listener = eventlet.listen(("127.0.0.1", 0))
    log = DecisionLog(replica.node_id)
    serving = eventlet.spawn(
        serve_requests,
        listener,
        lambda request, reply: reply(replica.handle(request, 0.0).reply),
        log,
    )
    context.add_cleanup(listener.close)
    context.add_cleanup(serving.kill)
    return f"127.0.0.1:{listener.getsockname()[1]}"


@given('a gateway whose group 0 is "a1" at a machine "{node}" with the disk "{disk}"')
def gateway(context: Context, node: str, disk: str) -> None:
    address = _address(context, RecordReplica(node, disk))
    context.view = GroupView(0, 1, [Member("a", "a1", address, ZONE)], [])
    context.views = GroupViews()
    context.views.update(context.view)


@given('zones\' own groups "{has_zones}" that are out of reach')
def zone_groups(context: Context, has_zones: str) -> None:
    if has_zones == "yes":
        silent = [Member(node, f"{node}1", "127.0.0.1:1", ZONE) for node in "de"]
        context.views.update(GroupView(2 * ZONE_GROUPS_FROM, 1, silent, []))


@given('the newest view of the store is of "{newest}"')
def newest_view(context: Context, newest: str) -> None:
    view = context.view if newest == "a1" else GroupView(0, 2, [member("c1")], [])
    store = SilentStore([view]) if newest == "unknown" else GroupsStore([view])
    context.noted = []
    log = DecisionLog("edge-0", context.noted.append, os.open(os.devnull, os.O_WRONLY))
    links = LinkTable(log, time.monotonic)
    client = QuorumClient(ZONE, context.views, links, time.monotonic)
    losses = LossChecks(context.views, links, store, log, time.monotonic)
    client.has_lost, client.on_all_replaced = losses.has_lost, losses.check
    context.ledger = ReplicatedLedger(ZONE, context.views, client, log, time.monotonic)


def _refusal(context: Context, attempt_id: str, route: Route) -> str:
    program = ProgramContext("program", 1000, 100, None, None)
    end = time.time() + 5.0
    until = time.monotonic() + 5.0
    attempt = Attempt(attempt_id, "POST", "/talk/x", "host", [], b"", time.time(), end, program)
    try:
        context.ledger.open_turn(attempt, route, 1, lambda: until)
    except StoreUncertainError as error:
        return str(error)
    raise AssertionError("the turn was granted")


@when("a turn of a {kind} route is begun, and another one {seconds:f} s later")
def turns_begun(context: Context, kind: str, seconds: float) -> None:
    route = replace(ROUTE, is_stateful=kind == "stateful")
    _refusal(context, "t1", route)
    eventlet.sleep(seconds)
    started = time.monotonic()
    context.reason = _refusal(context, "t2", route)
    context.duration_s = time.monotonic() - started


@then("the other one {verdict} refused for lost records")
def refused_for_loss(context: Context, verdict: str) -> None:
    is_lost = verdict == "is"
    assert (context.reason == loss_reason(0)) is is_lost, context.reason
    logged = [line for line in context.noted if isinstance(line, decisions.GroupLost)]
    assert logged == ([decisions.GroupLost(0, 1, "a")] if is_lost else []), logged
    assert not is_lost or context.duration_s < 0.1, context.duration_s
