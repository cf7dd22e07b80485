"""Mutants of the record store, each without one protective step."""

from contextlib import ExitStack
from unittest.mock import patch

from features.support import record_model
from features.support.record_model import Machine, OwnerReplies, RecordSchedule
from features.support.replacement_schedules import ReplacementSchedule
from yarrowwall.messages.replicated import GroupView, SynchronisationKept
from yarrowwall.replication import planner
from yarrowwall.replication.replica import RecordReplica
from yarrowwall.replication.views import has_read_quorum

_snapshot = RecordReplica.snapshot


def _grant_always(others: dict) -> bool:
    return True


def _any_acknowledgement(view: GroupView, acknowledged: set[str]) -> bool:
    return bool(acknowledged)


def _settled_at_once(view: GroupView, statuses: dict) -> GroupView:
    return GroupView(view.group, view.epoch + 1, view.joining, [])


def _persist_later(self: Machine, records: list, done) -> None:
    self.waiting += [(record, lambda: None) for record in records]
    done()


def _apply_any_view(self: RecordReplica, view: GroupView) -> None:
    if view.epoch > self.epoch:
        self.view = view
        self.counts_for_reads = True


def _is_in_no_newest_view(self: RecordSchedule, name: str) -> bool:
    """Ignore that the old members hold the complete records until the change ends."""
    return all(known.node_id != name for known in self.view.joining or self.view.members)


def _snapshot_without_state(self: RecordReplica, now: float) -> list:
    """Write what earlier releases wrote, which they could not read after a change of the group."""
    marks = SynchronisationKept(self.synchronised_epoch, self.counts_for_reads)
    found = [one for one in _snapshot(self, now) if not isinstance(one, SynchronisationKept)]
    return [*found[:1], marks, *found[1:]] if self.view is not None else [marks, *found]


def _is_read(view: GroupView, replies: OwnerReplies) -> bool:
    return has_read_quorum(view, replies.responders)


class _WithoutMark:
    """Loses in a snapshot whether the replica counts, as earlier releases did."""

    def __init__(self) -> None:
        self._patches = ExitStack()

    def start(self) -> None:
        """Apply the mutant."""
        enter = self._patches.enter_context
        enter(patch.object(RecordReplica, "snapshot", _snapshot_without_state))
        enter(patch.object(RecordReplica, "_is_valid_mark", lambda self, epoch: False))

    def stop(self) -> None:
        """Remove the mutant."""
        self._patches.close()


class _WithoutCopying:
    """Removes both of the two steps that protect the copy.

    The planner waits until it is finished, and a replica counts for reads only after it.
    """

    def __init__(self) -> None:
        self._patches = ExitStack()

    def start(self) -> None:
        """Apply the mutant."""
        self._patches.enter_context(patch.object(planner, "settled_view", _settled_at_once))
        self._patches.enter_context(patch.object(RecordReplica, "_apply_view", _apply_any_view))

    def stop(self) -> None:
        """Remove the mutant."""
        self._patches.close()


MUTANTS = {
    "grants without reading what others reserved": lambda: patch.object(
        RecordSchedule, "may_grant", staticmethod(_grant_always)
    ),
    "grants at once although another turn is under way": lambda: patch.object(
        RecordSchedule, "is_alone", staticmethod(_grant_always)
    ),
    "takes one acknowledgement for a quorum": lambda: patch.object(
        record_model, "has_write_quorum", _any_acknowledgement
    ),
    "takes requests of any epoch": lambda: patch.object(
        RecordReplica, "_refusal", lambda self, group, epoch, disk_id: None
    ),
    "ends a change of the group without a copy": _WithoutCopying,
    "loses in a snapshot that the replica had copied": _WithoutMark,
    "retires a machine however few copies remain": lambda: patch.object(
        planner, "_min_copies", lambda group, size: 0
    ),
    "removes a machine before its copies are elsewhere": lambda: patch.object(
        RecordSchedule, "is_retired", _is_in_no_newest_view
    ),
    "proves an absence by a read quorum": lambda: patch.object(
        ReplacementSchedule, "is_proof", staticmethod(_is_read)
    ),
    "ends without handing over": lambda: patch.object(
        ReplacementSchedule, "has_handed_over", lambda self, name: True
    ),
    "waits for silent members for good": lambda: patch.object(
        ReplacementSchedule, "absent", lambda self: set()
    ),
    "acknowledges what is not on disk": lambda: patch.object(Machine, "persist", _persist_later),
}
