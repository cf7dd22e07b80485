"""A program whose log this node drives: recovery, proposals, deferred effects.

An effect that depends on an entry waits until a quorum holds that entry. A
node that was paused and has lost its ballot therefore never acts on entries of
its own that nobody else will see.
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

#: Timer key of the retransmission of journal messages.
RETRANSMIT = "retransmit"


@dataclass(frozen=True)
class _Deferred:
    position: int
    effect: Effect
    valid_until: float


class JournaledProgram:
    """One program's log and state at its owner.

    :ivar state: folded from everything proposed, chosen or not; only this
        owner proposes, so it knows what will be chosen if it stays the owner.
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
        """Begin to take over the log."""
        self._send(self.log.prepare())
        self._plan_retransmission(now)

    def is_leading(self) -> bool:
        """Return whether this node may append."""
        return self.log.phase is ProposerPhase.LEADING

    def handle_promise(self, now: float, promise: Promise) -> None:
        """Count a promise; recover once there is a quorum."""
        was_leading = self.is_leading()
        self._send(self.log.handle_promise(promise))
        if self.is_leading() and not was_leading:
            for body in self.log.entries:
                self.state.apply(decode(body))
            self._plan_retransmission(now)
            self.recovered(now)

    def recovered(self, now: float) -> None:
        """Go on from the recovered state; for subclasses."""

    def propose(self, now: float, entries: list[Entry]) -> None:
        """Append entries to the log and fold them."""
        for entry in entries:
            self.state.apply(entry)
        self._send(self.log.append([encode(entry) for entry in entries]))
        self._plan_retransmission(now)

    def after_chosen(self, effect: Effect, valid_until: float = math.inf) -> None:
        """Emit an effect as soon as everything proposed so far is chosen.

        :param valid_until: the effect must not be emitted later than this.
        """
        position = len(self.log.entries)
        if self.log.chosen >= position:
            self._outbox.emit(effect)
        else:
            self._deferred.append(_Deferred(position, effect, valid_until))

    def handle_appended(self, now: float, answer: Appended) -> bool:
        """Count an acknowledgement and emit what waited for it.

        :returns: False if an effect came too late to be emitted: this node was
            paused, the program may have another owner, and it must be taken
            over anew before anything more is done.
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
        """Resend what a replica lacks."""
        self._send(self.log.handle_behind(answer, node_id))

    def handle_refused(self, answer: BallotRefused) -> bool:
        """Note a refusal.

        :returns: whether this owner has just been deposed.
        """
        if not self.log.handle_refused(answer):
            return False
        self._deferred.clear()
        return True

    def copy(self, now: float, map_version: int, requester: str) -> None:
        """Tell a replica once the log is on the replicas of a shard map."""
        self._copy_requests[requester] = map_version
        if not self._answer_copy_requests():
            self._send(self.log.replicate_again())
            self._plan_retransmission(now)

    def _answer_copy_requests(self) -> bool:
        """Answer those whose map this owner uses; return whether none is left."""
        if self._copy_requests and self.log.is_replicated():
            version = self.log.groups.map_version
            for requester, wanted in list(self._copy_requests.items()):
                if version >= wanted:
                    del self._copy_requests[requester]
                    copied = ProgramCopied(self.program_id, version)
                    self._outbox.emit(SendToPeer(requester, copied))
        return not self._copy_requests

    def change_groups(self, now: float, groups: ReplicaGroups) -> None:
        """Use a newer shard map."""
        self._send(self.log.change_groups(groups))
        self._plan_retransmission(now)

    def retransmit(self, now: float) -> None:
        """Send again what was not acknowledged."""
        messages = self.log.retransmit()
        if not messages and not self._answer_copy_requests():
            messages = self.log.replicate_again()
        if messages:
            self._send(messages)
            self._plan_retransmission(now)

    def _plan_retransmission(self, now: float) -> None:
        """Plan one unless it is planned: what comes often must not put it off for ever."""
        if RETRANSMIT not in self.timers:
            self.timers.set(RETRANSMIT, now + self._limits.retransmit)

    def _send(self, messages: list[ReplicaMessage]) -> None:
        for message in messages:
            self._outbox.emit(SendToPeer(message.node_id, message.message))
