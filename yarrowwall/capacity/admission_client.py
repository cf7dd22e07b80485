"""The gateway's side of room: asks a replica about new programs while servers are scarce."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from yarrowwall import decisions
from yarrowwall.capacity.load_reports import LoadReporter
from yarrowwall.decisions import DecisionLog
from yarrowwall.hashing import digest_int63
from yarrowwall.messages.capacity import AskRoom, ReturnRoom, RoomReply, Scarce
from yarrowwall.model import Attempt, Service
from yarrowwall.policy.active_programs import ActivePrograms
from yarrowwall.policy.capacity_forecast import ServiceCapacity
from yarrowwall.policy.local_admission import MAX_LOADS_AGE_SECONDS, LocalAdmission
from yarrowwall.policy.retry_after import after_unknown_capacity_s, caller_patience_s
from yarrowwall.policy.servers import ServerDirectory
from yarrowwall.policy.service_capacity import measure_capacity
from yarrowwall.ports.admission import AdmissionControl, NewProgram
from yarrowwall.refusals import unavailable

#: How a refusal for want of room begins.
NO_CAPACITY = "no room for"


class AdmissionClient(AdmissionControl):
    """Room for the programs of one gateway.

    :param under_way: counts this gateway's programs; the reporter tells of them.
    :param now: the monotonic clock.
    """

    def __init__(
        self,
        directory: ServerDirectory,
        reporter: LoadReporter,
        under_way: ActivePrograms,
        log: DecisionLog,
        now: Callable[[], float],
    ) -> None:
        self._directory = directory
        self._reporter = reporter
        self._under_way = under_way
        self._log = log
        self._now = now
        self._own = LocalAdmission()

    def request_admission(self, new: NewProgram) -> None:
        """Ask whether a new program may begin.

        A replica is asked only while half of the places are taken, so ordinary load costs nothing.

        :raises RefusedError: if there is no room for it.
        """
        now_s = self._now()
        room = measure_capacity(self._directory, new.service, now_s)
        is_known = room.age_s <= MAX_LOADS_AGE_SECONDS
        if is_known and room.is_open:
            return
        ask = self._question(new, room, now_s)
        reply = self._reporter.query_admission(ask) if is_known else None
        if reply is None:
            reply = self._decide_alone(ask, room)
        self._note_decided(new.attempt, ask, reply)
        if not reply.is_admitted:
            begun = "a conversation" if new.is_continued else "a new program"
            ahead = f"{reply.ahead} of {reply.waiting} waiting go before"
            reason = f"{NO_CAPACITY} {begun}: {reply.scarce}, {ahead}"
            raise unavailable(reason, reply.retry_after_s)

    def cancel_admission(self, new: NewProgram) -> None:
        """Give back the room of a program that its tenant's limit refused."""
        attempt = new.attempt
        told = ReturnRoom(new.service.name, attempt.tenant, _program_key(attempt))
        self._reporter.send_cancellation(told)

    @contextmanager
    def track_turn(self, attempt: Attempt, service: Service | None) -> Iterator[None]:
        """Count a turn as under way until the context is left."""
        if service is None or service.engine is None or attempt.program is None:
            yield
            return
        program = _program_key(attempt)
        self._under_way.begin_turn(program, service.name, _own_tokens(attempt), self._now())
        try:
            yield
        finally:
            self._under_way.end_turn(program, self._now())

    def _question(self, new: NewProgram, room: ServiceCapacity, now_s: float) -> AskRoom:
        attempt = new.attempt
        limit, program = attempt.limit, attempt.program
        finish_at = program.finish_at if program is not None else None
        # A program's prompt grows by about its first one with each turn, but for the history that a
        # conversation brings with it.
        first = _own_tokens(attempt)
        growth = _new_tokens(attempt) if new.is_continued else first
        tokens = round(first + growth * (new.turns - 1.0) / 2.0)
        return AskRoom(
            new.service.name,
            attempt.tenant,
            _program_key(attempt),
            limit.rate_per_s if limit is not None else 0.0,
            tokens,
            room.requests,
            room.age_s,
            room.slots,
            room.memory_tokens,
            finish_at - now_s if finish_at is not None else 0.0,
            caller_patience_s(attempt.deadline - now_s),
            new.is_continued,
        )

    def _decide_alone(self, ask: AskRoom, room: ServiceCapacity) -> RoomReply:
        own = sum(
            state.running
            for state in self._directory.states.values()
            if state.server.service == ask.service
        )
        reporters = self._reporter.reporters
        is_admitted = self._own.admits(room, own, reporters, self._now(), ask.is_continued)
        wait_s = after_unknown_capacity_s(ask.patience_s, ask.program)
        scarce = Scarce.NOTHING if is_admitted else Scarce.PLACES
        return RoomReply(is_admitted, wait_s, scarce, 0.0, 0, 0, "", 0.0)

    def _note_decided(self, attempt: Attempt, ask: AskRoom, reply: RoomReply) -> None:
        self._log.write(
            decisions.RoomDecided(
                attempt.attempt_id,
                attempt.program.program_id if attempt.program is not None else "",
                ask.tenant,
                ask.service,
                reply.is_admitted,
                reply.scarce.value,
                reply.retry_after_s,
                ask.taken,
                ask.places,
                ask.age_s,
                reply.free,
                reply.waiting,
                reply.ahead,
                reply.holder,
                reply.holder_share,
                ask.tokens,
                ask.memory_tokens,
                ask.is_continued,
            )
        )


def _program_key(attempt: Attempt) -> int:
    """Return a number for an attempt's program, as one of its tenant's."""
    name = attempt.program.program_id if attempt.program is not None else attempt.attempt_id
    return digest_int63(attempt.tenant, name)


def _new_tokens(attempt: Attempt) -> int:
    """Return the tokens that a turn adds to the prompts before it."""
    return attempt.prompt[-1].tokens if attempt.prompt else 0


def _own_tokens(attempt: Attempt) -> int:
    """Return the tokens of a prompt that engines keep for its program alone.

    Its first part is shared with other programs, but only within a tenant where there are any, and
    of one tenant seldom two programs meet at an engine.
    """
    tokens = sum(part.tokens for part in attempt.prompt)
    is_shared = len(attempt.prompt) > 1 and not attempt.tenant
    return tokens - attempt.prompt[0].tokens if is_shared else tokens
