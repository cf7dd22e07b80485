"""Steps about a replica that moves from one group to another."""

from behave import given, then, when
from behave.runner import Context

from features.support.record_model import member
from yarrowwall.clocks import Clock
from yarrowwall.messages.replicated import GroupView, StatusReply
from yarrowwall.replication.planner import settled_view
from yarrowwall.replication.replica import RecordReplica

OWN = "d1"
OTHERS = ("a1", "b1", "c1")
NEW_GROUP = 3


def apply_view(replica: RecordReplica, view: GroupView) -> None:
    """Install a view in a replica and write it to its disk."""
    for record in replica.install_view(view):
        replica.mark_durable(record)


def copy(replica: RecordReplica, view: GroupView) -> None:
    """Finish a replica's copy in a view."""
    mark = replica.synchronisation_mark(view)
    assert mark is not None
    replica.mark_durable(mark)


def joint_view(group: int, epoch: int) -> GroupView:
    """Return the joint view in which a group adds the replica."""
    old = [member(disk) for disk in OTHERS]
    return GroupView(group, epoch, old, [*old[:2], member(OWN)])


def views_of_first_group() -> list[GroupView]:
    """Return the views of the group that adds the replica and releases it again."""
    joint = joint_view(1, 2)
    with_own, without = joint.joining, joint.members
    return [
        joint,
        GroupView(1, 3, with_own, []),
        GroupView(1, 4, with_own, without),
        GroupView(1, 5, without, []),
    ]


@given("a replica that had copied in group 1 and was released by it at epoch 5")
def released_replica(context: Context) -> None:
    context.replica = RecordReplica("d", OWN)
    context.log = []
    for view in views_of_first_group():
        keep(context, context.replica.install_view(view))
        if context.replica.needs_synchronisation:
            keep(context, [context.replica.synchronisation_mark(view)])
    assert context.replica.epoch == 5 and not context.replica.counts_for_reads


def keep(context: Context, records: list) -> None:
    """Write log records to the replica's disk."""
    for record in records:
        context.log.append(record)
        context.replica.mark_durable(record)


@when("group 3 adds it at epoch {epoch:d}")
def added(context: Context, epoch: int) -> None:
    context.view = joint_view(NEW_GROUP, epoch)
    keep(context, context.replica.install_view(context.view))
    assert context.replica.view == context.view, context.replica.view


@when("group 3 adds it while the mark of a copy in group 1 is being written")
def added_during_copy(context: Context) -> None:
    context.view = joint_view(NEW_GROUP, 5)
    coming = context.replica.install_view(context.view)
    assert coming
    late = context.replica.synchronisation_mark(views_of_first_group()[-1])
    keep(context, [*coming, *([late] if late is not None else [])])


def change_ends(context: Context) -> bool:
    """Return whether group 3's change could end now."""
    epoch = context.view.epoch
    statuses = {disk: StatusReply(disk[0], disk, epoch, True, epoch) for disk in OTHERS[:2]} | {
        OWN: context.replica.status()
    }
    return settled_view(context.view, statuses) is not None


@then("it has to copy before the change of group 3 ends")
def has_to_copy(context: Context) -> None:
    assert context.replica.needs_synchronisation
    assert not context.replica.counts_for_reads
    assert not change_ends(context)


@then("restoring its log and restoring its snapshot give the same state")
def restored_alike(context: Context) -> None:
    for log in (context.log, context.replica.snapshot(0.0)):
        restored = RecordReplica("d", OWN)
        restored.restore(log, Clock(0.0, 0.0))
        assert restored.status() == context.replica.status(), restored.status()
        assert restored.view == context.replica.view
        assert restored.needs_synchronisation


@when("it has copied and group 3's change is over")
def change_over(context: Context) -> None:
    copy(context.replica, context.view)
    assert change_ends(context)
    apply_view(
        context.replica, GroupView(NEW_GROUP, context.view.epoch + 1, context.view.joining, [])
    )


@then("it counts for reads in group 3")
def counts_in_new_group(context: Context) -> None:
    assert context.replica.view.group == NEW_GROUP and context.replica.counts_for_reads


@then("views of group 1 at epochs 2 to 4 change nothing")
def earlier_views_ignored(context: Context) -> None:
    for view in views_of_first_group()[:3]:
        assert context.replica.install_view(view) == [], view
    assert context.replica.view == context.view
