"""Steps about a single program owner and a single node, without a network."""

from behave import given, then, when
from behave.runner import Context

from features.support.journal_model import JournalSchedule
from yarrowwall.messages.entries import EndReason, Priority
from yarrowwall.messages.journal import Append, Ballot
from yarrowwall.messages.requests import (
    EndProgram,
    OpenProgram,
    ProgramReply,
    ReserveChildBudget,
    SettleChildBudget,
)
from yarrowwall.standalone.core.configuration.commands import OperatorOutcome, ShowPlan
from yarrowwall.standalone.core.configuration.models import ShardMap, ShardReplica
from yarrowwall.standalone.core.effects import (
    Drained,
    ReadPlatform,
    ReplyToLookup,
    ReplyToOperator,
    SendToPeer,
    StreamRoute,
)
from yarrowwall.standalone.core.events import (
    DrainRequested,
    LookupRequested,
    NodeStarted,
    OperatorRequest,
    PlatformRead,
    TimeAdvanced,
)
from yarrowwall.standalone.core.journal.replica import JournalReplica
from yarrowwall.standalone.core.limits import Limits
from yarrowwall.standalone.core.node import NodeCore, NodeSettings
from yarrowwall.standalone.core.outbox import Outbox
from yarrowwall.standalone.core.program.owner import ProgramOwner
from yarrowwall.standalone.core.program.requests import OwnerContext
from yarrowwall.standalone.core.scheduling.engines import EngineProfile
from yarrowwall.standalone.core.scheduling.policies import CostWeights, make_policy
from yarrowwall.standalone.core.scheduling.scheduler import SchedulerSettings


def deliver_journal_messages(context: Context) -> None:
    """Deliver the owner's messages to the replicas and their answers back, until none is left."""
    effects = context.outbox.take()
    while effects:
        for effect in effects:
            if not isinstance(effect, SendToPeer):
                continue
            replica: JournalReplica = context.schedule.replicas[effect.node_id]
            if isinstance(effect.message, Append):
                answer = replica.handle_append(effect.message).answer
                context.owner.handle_appended(context.now, answer)
            else:
                answer = replica.handle_prepare(effect.message).answer
                context.owner.handle_promise(context.now, answer)
        effects = context.outbox.take()


@given("a child program whose owner leads")
def leading_child(context: Context) -> None:
    context.now, context.asked = 1.0, []
    context.schedule, context.outbox = JournalSchedule(), Outbox("a")
    owner_context = OwnerContext(
        Limits(),
        context.outbox,
        lambda call: None,
        lambda program_id: None,
        lambda key, outcome: None,
        lambda program_id, request: context.asked.append(request),
    )
    context.owner = ProgramOwner("p", context.schedule.groups, Ballot(1, "a"), owner_context)
    context.owner.start(context.now)
    deliver_journal_messages(context)
    request = OpenProgram("p", "tenant", "desk", 100, "parent")
    context.owner.handle_request(context.now, StreamRoute("a", "open"), request)
    reservation = context.asked.pop()
    assert reservation == ReserveChildBudget("parent", "p", 100), reservation
    granted = ProgramReply("parent", "tenant", "desk", "open", 1000, 0, 100, [])
    context.owner.handle_owner_reply(context.now, reservation, granted)
    deliver_journal_messages(context)


def run_timers(context: Context) -> None:
    for _ in range(5):
        context.now += 0.05
        context.owner.handle_time(context.now)


@when("it is ended and no replica has answered yet")
def end_child(context: Context) -> None:
    request = EndProgram("p", EndReason.CALLER)
    context.owner.handle_request(context.now, StreamRoute("a", "end"), request)
    run_timers(context)


@then("its parent has not been asked to settle")
def not_settled(context: Context) -> None:
    assert context.owner.state.ended is not None
    assert context.asked == [], context.asked


@when("the replicas have answered")
def replicas_answer(context: Context) -> None:
    deliver_journal_messages(context)
    run_timers(context)


@then("its parent is asked to settle what the child spent")
def settled(context: Context) -> None:
    assert context.asked == [SettleChildBudget("parent", "p", 0)], context.asked


@given("a node that drains while an operator's command runs")
def draining_node(context: Context) -> None:
    shard_map = ShardMap(replicas=[ShardReplica(replica_id="r", node_id="n", zone="z")])
    settings = NodeSettings("n", "z", "n", 1, (), shard_map, Limits(), SchedulerSettings())
    policy = make_policy("yarrowwall", "z", EngineProfile(), CostWeights())
    context.node = NodeCore(settings, policy, JournalReplica("r"), 0.0)
    context.node.handle(0.0, NodeStarted())
    effects = context.node.handle(1.0, OperatorRequest("command", ShowPlan("plan")))
    (context.read,) = [effect for effect in effects if isinstance(effect, ReadPlatform)]
    context.node.handle(1.1, DrainRequested())


def is_drained(context: Context, now: float) -> bool:
    effects = context.node.handle(now, TimeAdvanced())
    return any(isinstance(effect, Drained) for effect in effects)


@then("it does not stop")
def does_not_stop(context: Context) -> None:
    assert not is_drained(context, 1.5)


@when("the operator has the reply")
def operator_has_reply(context: Context) -> None:
    answer = PlatformRead(context.read.operation_id, context.read.name, True, None)
    # The node next checks at 1.6 whether it is drained.
    effects = context.node.handle(1.55, answer)
    assert any(isinstance(effect, ReplyToOperator) for effect in effects), effects
    assert not any(isinstance(effect, Drained) for effect in effects), effects


@then("it stops")
def stops(context: Context) -> None:
    assert is_drained(context, 2.0)


@then("a lookup and a command that come now are refused at once")
def late_ones_refused(context: Context) -> None:
    lookup = LookupRequested("late", "kind", "key", Priority.ROUTINE, 10.0)
    (reply,) = context.node.handle(1.2, lookup)
    assert isinstance(reply, ReplyToLookup) and reply.body is None and reply.retry_after > 0
    (reply,) = context.node.handle(1.2, OperatorRequest("late", ShowPlan("plan")))
    assert isinstance(reply, ReplyToOperator), reply
    assert reply.reply.outcome is OperatorOutcome.NOT_RUN, reply
