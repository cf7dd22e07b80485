"""A program whose log this node writes: recovery, proposals, deferred effects.

An effect that depends on an entry waits until a quorum holds that entry. A
node that was paused and has been deposed therefore never acts on its own
entries that were not chosen.
"""

import math
from collections import deque
from dataclasses import dataclass

import yarrowwall.messages.all_messages  # noqa: F401
from yarrowwall.messages.codec import decode, encode
from yarrowwall.messages.entries import Entry
from yarrowwall.messages.journal import (
    Appended,
    Ballot,
    BallotRefused,
    ProgramCopied,
    Promise,
    ReplicaBehind,
)
from yarrowwall.standalone.core.effects import Effect, SendToPeer
from yarrowwall.standalone.core.journal.proposer import (
    ProgramLog,
    ProposerPhase,
    ReplicaGroups,
    ReplicaMessage,
)
from yarrowwall.standalone.core.limits import Limits
from yarrowwall.standalone.core.outbox import Outbox
from yarrowwall.standalone.core.program.state import ProgramState
from yarrowwall.standalone.core.timers import Timers

#: Timer key of the next retransmission of journal messages.
RETRANSMIT = "retransmit"


@dataclass(frozen=True)
class _Deferred:
    position: int
    effect: Effect
    valid_until: float


class JournaledProgram:
    """One program's log and state at its owner.

    :ivar state: result of all proposed entries, chosen or not. Only this owner
        proposes, so all of them will be chosen if it stays the owner.
    """

    def __init__(
        self,
        program_id: str,
        groups: ReplicaGroups,
        ballot: Ballot,
        limits: Limits,
        outbox: Outbox,
    ) -> None:
        self.program_id = program_id
        self.state = ProgramState(program_id)
        self.log = ProgramLog(program_id, groups, ballot)
        self.timers: Timers[str] = Timers()
        self._limits = limits
        self._outbox = outbox
        self._deferred: deque[_Deferred] = deque()
        self._copy_requests: dict[str, int] = {}

    def start(self, now: float) -> None:
        """Start taking over the log by preparing the ballot."""
        self._send(self.log.prepare())
        self._plan_retransmission(now)

    def is_leading(self) -> bool:
        """Return whether this owner may append to the log."""
        return self.log.phase is ProposerPhase.LEADING

    def handle_promise(self, now: float, promise: Promise) -> None:
        """Count a promise; recover the state once a quorum has promised."""
        was_leading = self.is_leading()
        self._send(self.log.handle_promise(promise))
        if self.is_leading() and not was_leading:
            for body in self.log.entries:
                self.state.apply(decode(body))
            self._plan_retransmission(now)
            self.recovered(now)

    def recovered(self, now: float) -> None:
        """Continue from the recovered state; a hook for subclasses."""

    def propose(self, now: float, entries: list[Entry]) -> None:
        """Append entries to the log and apply them to the state."""
        for entry in entries:
            self.state.apply(entry)
        self._send(self.log.append([encode(entry) for entry in entries]))
        self._plan_retransmission(now)

    def after_chosen(self, effect: Effect, valid_until: float = math.inf) -> None:
        """Emit an effect as soon as all entries proposed so far are chosen.

        :param valid_until: time after which the effect must not be emitted.
        """
        position = len(self.log.entries)
        if self.log.chosen >= position:
            self._outbox.emit(effect)
        else:
            self._deferred.append(_Deferred(position, effect, valid_until))

    def handle_appended(self, now: float, answer: Appended) -> bool:
        """Count an acknowledgement and emit the effects that waited for it.

        :returns: False if an effect expired before it could be emitted: this node
            was paused and the program may have another owner, so the program must
            be taken over again first.
        """
        if not self.log.handle_appended(answer):
            self._answer_copy_requests()
            return True
        while self._deferred and self._deferred[0].position <= self.log.chosen:
            deferred = self._deferred.popleft()
            if now > deferred.valid_until:
                return False
            self._outbox.emit(deferred.effect)
        if self.log.settled() and self._answer_copy_requests():
            self.timers.cancel(RETRANSMIT)
        return True

    def handle_behind(self, answer: ReplicaBehind, node_id: str) -> None:
        """Resend the entries that a replica lacks."""
        self._send(self.log.handle_behind(answer, node_id))

    def handle_refused(self, answer: BallotRefused) -> bool:
        """Handle a refusal of this owner's ballot.

        :returns: whether this owner has just been deposed.
        """
        if not self.log.handle_refused(answer):
            return False
        self._deferred.clear()
        return True

    def copy(self, now: float, map_version: int, requester: str) -> None:
        """Notify a replica once the replicas of a shard map hold the log."""
        self._copy_requests[requester] = map_version
        if not self._answer_copy_requests():
            self._send(self.log.replicate_again())
            self._plan_retransmission(now)

    def _answer_copy_requests(self) -> bool:
        """Answer the requests that are fulfilled; return whether none remains."""
        if self._copy_requests and self.log.is_replicated():
            version = self.log.groups.map_version
            for requester, wanted in list(self._copy_requests.items()):
                if version >= wanted:
                    del self._copy_requests[requester]
                    copied = ProgramCopied(self.program_id, version)
                    self._outbox.emit(SendToPeer(requester, copied))
        return not self._copy_requests

    def change_groups(self, now: float, groups: ReplicaGroups) -> None:
        """Use the replica groups of a newer shard map."""
        self._send(self.log.change_groups(groups))
        self._plan_retransmission(now)

    def retransmit(self, now: float) -> None:
        """Resend the messages that were not acknowledged."""
        messages = self.log.retransmit()
        if not messages and not self._answer_copy_requests():
            messages = self.log.replicate_again()
        if messages:
            self._send(messages)
            self._plan_retransmission(now)

    def _plan_retransmission(self, now: float) -> None:
        """Set the timer unless it is set; frequent calls must not postpone it forever."""
        if RETRANSMIT not in self.timers:
            self.timers.set(RETRANSMIT, now + self._limits.retransmit)

    def _send(self, messages: list[ReplicaMessage]) -> None:
        for message in messages:
            self._outbox.emit(SendToPeer(message.node_id, message.message))
