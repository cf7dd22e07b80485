"""Mutants of the core, each of which removes one protection.

A mutant is a set of replaced methods. Mutants show that the checks can fail. Each one names the
promises of which at least one must be violated.
"""

from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, replace
from typing import Any
from unittest.mock import patch

import yarrowwall.standalone.core.journal.proposer as proposer_module
import yarrowwall.standalone.core.scheduling.engines as engines_module
from yarrowwall.messages.requests import ErrorReply
from yarrowwall.standalone.core.configuration.controller import Controller
from yarrowwall.standalone.core.configuration.documents import DocumentTable
from yarrowwall.standalone.core.effects import Drained
from yarrowwall.standalone.core.events import EngineCompleted, EngineFault
from yarrowwall.standalone.core.journal.reconfiguration import LogCopier
from yarrowwall.standalone.core.journal.replica import JournalReplica, ReplicaLog
from yarrowwall.standalone.core.node import NodeCore
from yarrowwall.standalone.core.program.journaled import JournaledProgram
from yarrowwall.standalone.core.program.owner import ProgramOwner
from yarrowwall.standalone.core.program.state import ProgramState
from yarrowwall.standalone.core.scheduling.engines import EngineView
from yarrowwall.standalone.models.engine import EngineModel
from yarrowwall.standalone.simulation.faults import FaultKind
from yarrowwall.standalone.simulation.observer import Invariant

#: Faults that let two nodes each consider themselves the owner.
SPLIT_FAULTS = (
    FaultKind.FREEZE,
    FaultKind.ZONE_CUT,
    FaultKind.ONE_WAY_CUT,
    FaultKind.MESSAGE_FAULTS,
)


@dataclass(frozen=True)
class Mutant:
    """Replaced methods, the promises that they must break, and the faults to inject."""

    breaks: tuple[Invariant, ...]
    replacements: tuple[tuple[Any, str, Any], ...]
    faults: tuple[FaultKind, ...] = tuple(FaultKind)


def _append_for_any_ballot(self, request):
    log = self._log(request.program_id)
    log.promised = min(log.promised, request.ballot)
    return _handle_append(self, request)


_handle_append = JournalReplica.handle_append


def _start_before_dispatch_is_chosen(self, now, effect):
    self._outbox.emit(effect)


def _any_replica_is_a_quorum(groups, acknowledged):
    return bool(acknowledged)


def _keep_the_old_tail(self, ballot, start, bodies, chosen):
    self.promised = ballot
    self.entries[start : start + len(bodies)] = bodies
    self.accepted_ballot = ballot
    self.chosen = max(self.chosen, min(chosen, len(self.entries)))


def _emit_at_once(self, effect, valid_until=0.0):
    self._outbox.emit(effect)


def _refuse_unjournalled(self, now, pending, error_type, message, retry_after):
    self.pending.pop(pending.route.request_id, None)
    reply = ErrorReply(error_type, message, retry_after)
    self._outbox.emit(self._outbox.reply_effect(pending.route, reply))


def _do_nothing(self, *arguments):
    return None


def _stop_at_once(self, now, event):
    self._outbox.emit(Drained())


def _take_any_version(self, document):
    self._in_force[document.name] = document
    self._on_change(document)


def _apply_at_once(self, document):
    self.apply(document)


def _ready_at_once(self, answer):
    self._has_fetched = True


def _usable_while_leaving(self, now, model):
    return self.report is not None and model in self.report.models


def _unlimited_budget(self):
    return 10**12


def _admit_in_any_order(self, now, pending, request):
    self._queue_request(now, pending, request)


def _treat_broken_stream_as_complete(self, now, event):
    if event.fault is EngineFault.BROKEN:
        self.handle_completed(now, EngineCompleted(event.key, "part of", "stop", 1, 0, 1))
    else:
        _handle_failed(self, now, event)


_handle_failed = ProgramOwner.handle_failed


def _run_lost_attempts_again(self, now, key, call):
    self._context.attempt_ended(key, EngineFault.BROKEN)
    again = replace(call.accepted, repeatable=True)
    call.accepted = again
    _handle_lost(self, now, key, call)


_handle_lost = ProgramOwner._handle_lost


def _obey_any_term(self, term, models):
    self._models = models
    return True


def _continue_after_the_lease(self, now):
    return self._term > 0


def _copy_nothing(self, map_version, program_ids):
    self._map_version = map_version


def _forget_history(self, entry):
    _apply_accepted(self, entry)
    del self.history[: -len(entry.messages)]


_apply_accepted = ProgramState._apply_accepted


MUTANTS = {
    "replicas accept any ballot": Mutant(
        (Invariant.HISTORY, Invariant.AT_MOST_ONCE, Invariant.WHOLE_ANSWER, Invariant.ORDER),
        ((JournalReplica, "handle_append", _append_for_any_ballot),),
        SPLIT_FAULTS,
    ),
    "requests are sent before the dispatch is chosen": Mutant(
        (Invariant.AT_MOST_ONCE,),
        ((ProgramOwner, "start_after_dispatch", _start_before_dispatch_is_chosen),),
    ),
    "a majority of one": Mutant(
        (Invariant.HISTORY, Invariant.AT_MOST_ONCE, Invariant.WHOLE_ANSWER, Invariant.ORDER),
        ((proposer_module, "has_quorum", _any_replica_is_a_quorum),),
    ),
    "an older ballot's tail is kept": Mutant(
        (Invariant.HISTORY, Invariant.AT_MOST_ONCE, Invariant.ORDER),
        ((ReplicaLog, "accept", _keep_the_old_tail),),
        SPLIT_FAULTS,
    ),
    "effects do not wait for a quorum": Mutant(
        (Invariant.HISTORY, Invariant.WHOLE_ANSWER, Invariant.AT_MOST_ONCE, Invariant.NOT_RUN),
        ((JournaledProgram, "after_chosen", _emit_at_once),),
    ),
    "refusals are not journalled": Mutant(
        (Invariant.NOT_RUN,), ((ProgramOwner, "_refuse", _refuse_unjournalled),)
    ),
    "releases are forgotten": Mutant(
        (Invariant.RELEASED,), ((ProgramOwner, "_release_all", _do_nothing),)
    ),
    "the drain is skipped": Mutant(
        (Invariant.PLANNED_STOP,), ((NodeCore, "_handle_drain", _stop_at_once),)
    ),
    "older configurations are applied": Mutant(
        (Invariant.CONFIGURATION,), ((DocumentTable, "apply", _take_any_version),)
    ),
    "configurations take effect before a majority has them": Mutant(
        (Invariant.CONFIGURATION,),
        (
            (DocumentTable, "replicate", _apply_at_once),
            (DocumentTable, "handle_fetched", _ready_at_once),
        ),
    ),
    "leaving engines are used": Mutant(
        (Invariant.LEAVING,), ((EngineView, "is_usable", _usable_while_leaving),)
    ),
    "budgets are not checked": Mutant(
        (Invariant.BUDGET,), ((ProgramState, "available_tokens", _unlimited_budget),)
    ),
    "calls are admitted in any order": Mutant(
        (Invariant.ORDER,), ((ProgramOwner, "_admit", _admit_in_any_order),)
    ),
    "broken streams count as complete": Mutant(
        (Invariant.WHOLE_ANSWER,),
        ((ProgramOwner, "handle_failed", _treat_broken_stream_as_complete),),
    ),
    "lost attempts run again": Mutant(
        (Invariant.AT_MOST_ONCE,), ((ProgramOwner, "_handle_lost", _run_lost_attempts_again),)
    ),
    "engines obey any controller term": Mutant(
        (Invariant.CONFIGURATION,),
        (
            (EngineModel, "order", _obey_any_term),
            (Controller, "holds_lease", _continue_after_the_lease),
        ),
        (FaultKind.FREEZE, FaultKind.KILL),
    ),
    "controllers continue after their lease": Mutant(
        (),
        ((Controller, "holds_lease", _continue_after_the_lease),),
        (FaultKind.FREEZE, FaultKind.KILL),
    ),
    "a shard map is finished before the logs are copied": Mutant(
        (Invariant.HISTORY, Invariant.AT_MOST_ONCE, Invariant.LIVENESS, Invariant.NOT_RUN),
        ((LogCopier, "begin", _copy_nothing),),
        (FaultKind.DISK_REPLACED, FaultKind.KILL, FaultKind.ZONE_CUT),
    ),
    "old load reports are trusted": Mutant(
        (Invariant.LEAVING,), ((engines_module, "REPORT_VALID_SECONDS", 1e9),)
    ),
    "history is forgotten": Mutant(
        (Invariant.HISTORY,), ((ProgramState, "_apply_accepted", _forget_history),)
    ),
}


@contextmanager
def applied(name: str):
    """Apply a mutant to the core."""
    with ExitStack() as stack:
        for target, attribute, replacement in MUTANTS[name].replacements:
            stack.enter_context(patch.object(target, attribute, replacement))
        yield
