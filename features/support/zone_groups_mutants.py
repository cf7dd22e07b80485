"""Mutants of zone groups, each without one protective step."""

from unittest.mock import patch

from features.support.record_mutants import MUTANTS as RECORD_MUTANTS
from yarrowwall.messages.replicated import GroupView, Member
from yarrowwall.quorum import majority
from yarrowwall.replication import planner, views


def _majority(group: int, size: int) -> int:
    return majority(size)


def _one(group: int, size: int) -> int:
    return 1


def _revised_in_place(view: GroupView, registered: dict[str, Member]) -> GroupView | None:
    newest = [registered[member.node_id] for member in view.joining]
    return GroupView(view.group, view.epoch, view.members, newest)


MUTANTS = {
    "writes to a majority alone": lambda: patch.object(views, "write_quorum", _majority),
    "reads from one replica of those that a majority wrote to": lambda: patch.object(
        views, "read_quorum", _one
    ),
    "revises a change without a new epoch": lambda: patch.object(
        planner, "revised_view", _revised_in_place
    ),
    "begins a change before the last one is known": lambda: patch.object(
        planner, "is_ready_to_change", lambda view, statuses: True
    ),
    "ends a change of the group without a copy": RECORD_MUTANTS[
        "ends a change of the group without a copy"
    ],
    "acknowledges what is not on disk": RECORD_MUTANTS["acknowledges what is not on disk"],
}
