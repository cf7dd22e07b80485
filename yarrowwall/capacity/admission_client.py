"""Requests admission of new programs from a replica while servers are scarce."""

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

#: Prefix of the reason of a refusal for lack of capacity.
NO_CAPACITY = "no room for"


class AdmissionClient(AdmissionControl):
    """Admission of the programs of one gateway.

    :param active: counts this gateway's active programs, which the reporter reports.
    :param now: the monotonic clock.
    """

    def __init__(
        self,
        directory: ServerDirectory,
        reporter: LoadReporter,
        active: ActivePrograms,
        log: DecisionLog,
        now: Callable[[], float],
    ) -> None:
        self._directory = directory
        self._reporter = reporter
        self._active = active
        self._log = log
        self._now = now
        self._local = LocalAdmission()

    def request_admission(self, new: NewProgram) -> None:
        """Request admission of a new program.

        A replica is asked only while at least half of the slots are in use, so that ordinary load
        causes no requests.

        :raises RefusedError: if there is no capacity for it.
        """
        now_s = self._now()
        capacity = measure_capacity(self._directory, new.service, now_s)
        is_recent = capacity.age_s <= MAX_LOADS_AGE_SECONDS
        if is_recent and capacity.is_open:
            return
        ask = self._request(new, capacity, now_s)
        reply = self._reporter.query_admission(ask) if is_recent else None
        if reply is None:
            reply = self._decide_alone(ask, capacity)
        self._note_decided(new.attempt, ask, reply)
        if not reply.is_admitted:
            begun = "a conversation" if new.is_continued else "a new program"
            ahead = f"{reply.ahead} of {reply.waiting} waiting go before"
            reason = f"{NO_CAPACITY} {begun}: {reply.scarce}, {ahead}"
            raise unavailable(reason, reply.retry_after_s)

    def cancel_admission(self, new: NewProgram) -> None:
        """Withdraw the admission of a program that its tenant's limit refused."""
        attempt = new.attempt
        message = ReturnRoom(new.service.name, attempt.tenant, _program_key(attempt))
        self._reporter.send_cancellation(message)

    @contextmanager
    def track_turn(self, attempt: Attempt, service: Service | None) -> Iterator[None]:
        """Count a turn as active until the context is left."""
        if service is None or service.engine is None or attempt.program is None:
            yield
            return
        program = _program_key(attempt)
        self._active.begin_turn(program, service.name, _own_tokens(attempt), self._now())
        try:
            yield
        finally:
            self._active.end_turn(program, self._now())

    def _request(self, new: NewProgram, capacity: ServiceCapacity, now_s: float) -> AskRoom:
        attempt = new.attempt
        limit, program = attempt.limit, attempt.program
        finish_at = program.finish_at if program is not None else None
        # With each turn the prompt grows by about the size of the first one, without the history
        # that a continued conversation includes.
        first = _own_tokens(attempt)
        growth = _new_tokens(attempt) if new.is_continued else first
        tokens = round(first + growth * (new.turns - 1.0) / 2.0)
        return AskRoom(
            new.service.name,
            attempt.tenant,
            _program_key(attempt),
            limit.rate_per_s if limit is not None else 0.0,
            tokens,
            capacity.requests,
            capacity.age_s,
            capacity.slots,
            capacity.memory_tokens,
            finish_at - now_s if finish_at is not None else 0.0,
            caller_patience_s(attempt.deadline - now_s),
            new.is_continued,
        )

    def _decide_alone(self, ask: AskRoom, capacity: ServiceCapacity) -> RoomReply:
        own = sum(
            state.running
            for state in self._directory.states.values()
            if state.server.service == ask.service
        )
        reporters = self._reporter.reporters
        is_admitted = self._local.admits(capacity, own, reporters, self._now(), ask.is_continued)
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
    """Return a hash of an attempt's tenant and program."""
    name = attempt.program.program_id if attempt.program is not None else attempt.attempt_id
    return digest_int63(attempt.tenant, name)


def _new_tokens(attempt: Attempt) -> int:
    """Return the tokens that a turn adds to the previous prompts."""
    return attempt.prompt[-1].tokens if attempt.prompt else 0


def _own_tokens(attempt: Attempt) -> int:
    """Return the tokens of a prompt that are cached for its program alone.

    The first part is shared with other programs. Programs of different tenants share nothing, and
    two programs of one tenant rarely use the same engine, so with tenants all tokens count.
    """
    tokens = sum(part.tokens for part in attempt.prompt)
    is_shared = len(attempt.prompt) > 1 and not attempt.tenant
    return tokens - attempt.prompt[0].tokens if is_shared else tokens
