"""The programs that this node owns, and its ballots for them."""

from collections.abc import Callable

from yarrowwall.messages.journal import (
    Appended,
    Ballot,
    BallotRefused,
    CopyProgram,
    Promise,
    ReplicaBehind,
)
from yarrowwall.messages.requests import Reply, Request
from yarrowwall.standalone.core.effects import StreamRoute
from yarrowwall.standalone.core.events import (
    AttemptKey,
    EngineCompleted,
    EngineFailed,
    EngineFault,
    EngineReleased,
)
from yarrowwall.standalone.core.journal.proposer import ReplicaGroups
from yarrowwall.standalone.core.limits import Limits
from yarrowwall.standalone.core.outbox import Outbox
from yarrowwall.standalone.core.program.owner import ProgramOwner
from yarrowwall.standalone.core.program.requests import OwnerContext, PendingRequest
from yarrowwall.standalone.core.scheduling.scheduler import Scheduler
from yarrowwall.standalone.core.scheduling.types import Placement
from yarrowwall.standalone.core.timers import Timers

#: Number of programs whose last ballot counter is kept; a missing one costs a round trip.
KEPT_BALLOTS = 10_000


class OwnerRegistry:
    """All program owners of one node.

    :param holder: this node and its incarnation, as written in ballots.
    :param groups_of: returns the replica groups of a program.
    :param ask: sends a request to another program's owner.
    """

    def __init__(
        self,
        holder: str,
        limits: Limits,
        outbox: Outbox,
        scheduler: Scheduler,
        groups_of: Callable[[str], ReplicaGroups],
        ask: Callable[[float, str, Request], None],
    ) -> None:
        self._holder = holder
        self._limits = limits
        self._scheduler = scheduler
        self._groups_of = groups_of
        self._owners: dict[str, ProgramOwner] = {}
        self._ballot_counters: dict[str, int] = {}
        self._timers: Timers[str] = Timers()
        self._now = 0.0
        self._context = OwnerContext(
            limits,
            outbox,
            scheduler.enqueue,
            scheduler.withdraw,
            lambda key, outcome: scheduler.attempt_ended(key, outcome, self._now),
            lambda program_id, request: ask(self._now, program_id, request),
        )

    def __len__(self) -> int:
        return len(self._owners)

    def get(self, program_id: str) -> ProgramOwner | None:
        """Return the owner of a program, if it is loaded here."""
        return self._owners.get(program_id)

    def load(self, now: float, program_id: str) -> ProgramOwner:
        """Return the owner of a program; take the program over if it is not loaded."""
        self._now = now
        owner = self._owners.get(program_id)
        return owner if owner is not None else self._take_over(now, program_id)

    def _take_over(self, now: float, program_id: str) -> ProgramOwner:
        counter = self._ballot_counters.pop(program_id, 0) + 1
        ballot = Ballot(counter, self._holder)
        owner = ProgramOwner(program_id, self._groups_of(program_id), ballot, self._context)
        self._owners[program_id] = owner
        owner.start(now)
        self._schedule(owner)
        return owner

    def handle_request(self, now: float, route: StreamRoute, request: Request) -> None:
        """Pass a request to its program's owner."""
        owner = self.load(now, request.program_id)
        owner.handle_request(now, route, request)
        self._schedule(owner)

    def handle_owner_reply(
        self, now: float, program_id: str, request: Request, reply: Reply
    ) -> None:
        """Pass the reply of another program's owner to the program that asked."""
        self._with_owner(
            now, program_id, lambda owner: owner.handle_owner_reply(now, request, reply)
        )

    def _with_owner(
        self, now: float, program_id: str, action: Callable[[ProgramOwner], None]
    ) -> None:
        owner = self._owners.get(program_id)
        if owner is None:
            return
        self._now = now
        action(owner)
        self._schedule(owner)

    # Journal

    def handle_promise(self, now: float, message: Promise) -> None:
        """Pass a promise to the program's owner."""
        self._with_owner(now, message.program_id, lambda owner: owner.handle_promise(now, message))

    def handle_appended(self, now: float, message: Appended) -> None:
        """Pass an acknowledgement to the owner; take the program over again if it was too late."""
        owner = self._owners.get(message.program_id)
        if owner is None:
            return
        self._now = now
        if owner.handle_appended(now, message):
            self._schedule(owner)
        else:
            self._restart(now, owner)

    def handle_behind(self, now: float, sender: str, message: ReplicaBehind) -> None:
        """Resend the entries that a replica lacks."""
        self._with_owner(
            now, message.program_id, lambda owner: owner.handle_behind(message, sender)
        )

    def handle_refused(self, now: float, message: BallotRefused) -> list[PendingRequest]:
        """Drop an owner whose ballot was refused, or retry with a higher ballot.

        A new owner starts with a low ballot and learns the current one from its
        first refusal. After any other refusal it gives the program up: otherwise
        two nodes with different member tables would depose each other forever.

        :returns: the dropped owner's requests, to be sent to the new owner.
        """
        owner = self._owners.get(message.program_id)
        if owner is None:
            return []
        may_retry = not owner.is_leading() and not owner.took_higher_ballot
        if not owner.handle_refused(message):
            return []
        self._now = now
        if may_retry:
            self._restart(now, owner)
            return []
        self._drop(owner)
        self._keep_ballot(message.program_id, message.promised.counter)
        return list(owner.pending.values())

    def _restart(self, now: float, owner: ProgramOwner) -> None:
        """Take a program over again, with a higher ballot than any seen."""
        self._drop(owner)
        highest = max(owner.log.ballot, owner.log.highest_seen)
        self._keep_ballot(owner.program_id, highest.counter)
        successor = self._take_over(now, owner.program_id)
        successor.took_higher_ballot = True
        for pending in owner.pending.values():
            successor.handle_request(now, pending.route, pending.request)

    def _keep_ballot(self, program_id: str, counter: int) -> None:
        self._ballot_counters[program_id] = counter
        while len(self._ballot_counters) > KEPT_BALLOTS:
            self._ballot_counters.pop(next(iter(self._ballot_counters)))

    def _drop(self, owner: ProgramOwner) -> None:
        self._scheduler.withdraw(owner.program_id)
        del self._owners[owner.program_id]
        self._timers.cancel(owner.program_id)

    def copy(self, now: float, sender: str, message: CopyProgram) -> None:
        """Copy a program's log to the replicas of a newer shard map."""
        owner = self.load(now, message.program_id)
        owner.copy(now, message.map_version, sender)
        self._schedule(owner)

    def change_groups(self, now: float) -> None:
        """Apply a newer shard map to every program."""
        for owner in list(self._owners.values()):
            owner.change_groups(now, self._groups_of(owner.program_id))
            self._schedule(owner)

    # Engines

    def place(self, now: float, placement: Placement) -> None:
        """Run a call on the engine that the scheduler chose."""
        owner = self._owners.get(placement.call.program_id)
        if owner is None or not owner.is_leading():
            return
        self._now = now
        key = owner.place(now, placement)
        self._scheduler.note_dispatched(key, placement.engine_id)
        self._schedule(owner)

    def handle_completed(self, now: float, event: EngineCompleted) -> None:
        """Pass an engine's answer to the program's owner."""
        self._with_attempt(now, event.key, lambda owner: owner.handle_completed(now, event))

    def handle_failed(self, now: float, event: EngineFailed) -> None:
        """Pass an engine's failure to the program's owner."""
        self._with_attempt(now, event.key, lambda owner: owner.handle_failed(now, event))

    def _with_attempt(
        self, now: float, key: AttemptKey, action: Callable[[ProgramOwner], None]
    ) -> None:
        if key.program_id in self._owners:
            self._with_owner(now, key.program_id, action)
        else:
            self._scheduler.attempt_ended(key, EngineFault.UNKNOWN_REQUEST, now)

    def handle_released(self, now: float, event: EngineReleased) -> None:
        """Pass an engine's confirmation of a release to the program's owner."""
        self._with_owner(
            now, event.program_id, lambda owner: owner.handle_released(now, event.engine_id)
        )

    # Time

    def _schedule(self, owner: ProgramOwner) -> None:
        if self._owners.get(owner.program_id) is not owner:
            return
        deadline = owner.timers.next_deadline()
        if deadline is None:
            self._timers.cancel(owner.program_id)
        else:
            self._timers.set(owner.program_id, deadline)

    def next_deadline(self) -> float | None:
        """Return the earliest deadline of any owner."""
        return self._timers.next_deadline()

    def handle_time(self, now: float) -> None:
        """Handle passed deadlines; unload programs that need no owner in memory."""
        self._now = now
        for program_id in self._timers.due(now):
            owner = self._owners[program_id]
            owner.handle_time(now)
            if owner.may_unload(now):
                self._keep_ballot(program_id, owner.log.ballot.counter)
                self._drop(owner)
            else:
                self._schedule(owner)

    def is_idle(self) -> bool:
        """Return whether no program has running calls, pending requests or unchosen entries."""
        return all(owner.is_idle() for owner in self._owners.values())

    def validate_state(self) -> None:
        """Check the invariants of every program's state; for tests.

        :raises InvariantError: if one is violated.
        """
        for owner in self._owners.values():
            owner.state.validate_state()
