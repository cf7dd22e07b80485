"""A program's state, computed by applying the entries of its log."""

from dataclasses import dataclass, field
from enum import StrEnum

from yarrowwall.messages.entries import (
    AttemptLost,
    AttemptNotRun,
    CacheReleased,
    CallAccepted,
    CallDispatched,
    CallFinished,
    CallRefused,
    ChatMessage,
    ChildBudgetReserved,
    ChildBudgetSettled,
    Entry,
    ProgramEnded,
    ProgramOpened,
)
from yarrowwall.messages.requests import CallSummary, ProgramReply
from yarrowwall.standalone.core.exceptions import InvariantError

#: Bytes per token, used to estimate a reservation before an engine has counted
#: the tokens. The stand-in engines count the same way.
BYTES_PER_TOKEN = 4
#: Tokens that each message adds to its text, for the role and separators.
TOKENS_PER_MESSAGE = 4


def count_tokens(text: str) -> int:
    """Return the estimated number of tokens of a text, without the message overhead."""
    return -(-len(text.encode()) // BYTES_PER_TOKEN)


def count_message_tokens(messages: list[ChatMessage]) -> int:
    """Return the estimated number of tokens that messages add to a prompt."""
    return sum(TOKENS_PER_MESSAGE + count_tokens(message.content) for message in messages)


class CallStatus(StrEnum):
    """Status of a call."""

    ACCEPTED = "accepted"
    DISPATCHED = "dispatched"
    FINISHED = "finished"
    UNKNOWN = "outcome_unknown"


@dataclass
class CallState:
    """One call of a program.

    :ivar attempt: number of the latest dispatched attempt; 0 before the first.
    :ivar history_start: length of the history before the call's messages.
    """

    accepted: CallAccepted
    history_start: int = 0
    status: CallStatus = CallStatus.ACCEPTED
    attempt: int = 0
    engine_id: str = ""
    engine_address: str = ""
    finished: CallFinished | None = None

    def is_settled(self) -> bool:
        """Return whether the call's outcome is final."""
        return self.status in (CallStatus.FINISHED, CallStatus.UNKNOWN)


@dataclass
class ProgramState:
    """State of one program according to its log.

    :ivar spent_tokens: tokens charged permanently.
    :ivar reserved_tokens: tokens reserved for attempts in progress.
    :ivar child_reservations: tokens reserved for children that have not settled, by program id.
    :ivar settled_children: program ids of children whose budget was settled.
    :ivar held_engines: addresses of engines that may hold a cache, by engine id.
    :ivar history: all messages, including answers.
    """

    program_id: str
    opened: ProgramOpened | None = None
    ended: ProgramEnded | None = None
    calls: dict[int, CallState] = field(default_factory=dict)
    refusals: dict[str, CallRefused] = field(default_factory=dict)
    spent_tokens: int = 0
    reserved_tokens: int = 0
    child_reservations: dict[str, int] = field(default_factory=dict)
    settled_children: set[str] = field(default_factory=set)
    held_engines: dict[str, str] = field(default_factory=dict)
    history: list[ChatMessage] = field(default_factory=list)
    last_activity: float = 0.0

    def apply(self, entry: Entry) -> None:
        """Apply one log entry.

        :raises InvariantError: if the entry belongs to another program.
        """
        if entry.program_id != self.program_id:
            raise InvariantError(
                f"the log of {self.program_id} contains an entry of {entry.program_id}"
            )
        match entry:
            case ProgramOpened():
                self.opened = entry
                self.last_activity = entry.opened_at
            case CallAccepted():
                self._apply_accepted(entry)
            case CallDispatched():
                self._apply_dispatched(entry)
            case AttemptNotRun():
                self._apply_not_run(entry)
            case CallFinished():
                self._apply_finished(entry)
            case AttemptLost():
                self._apply_lost(entry)
            case CallRefused():
                self._apply_refused(entry)
            case ChildBudgetReserved():
                self.child_reservations[entry.child_program_id] = entry.tokens
            case ChildBudgetSettled():
                self._apply_child_settled(entry)
            case CacheReleased():
                self.held_engines.pop(entry.engine_id, None)
            case ProgramEnded():
                self.ended = entry

    def _apply_accepted(self, entry: CallAccepted) -> None:
        self.calls[entry.call_number] = CallState(entry, len(self.history))
        self.history.extend(entry.messages)
        self.last_activity = max(self.last_activity, entry.accepted_at)

    def _apply_dispatched(self, entry: CallDispatched) -> None:
        call = self.calls[entry.call_number]
        call.status = CallStatus.DISPATCHED
        call.attempt = entry.attempt
        call.engine_id = entry.engine_id
        call.engine_address = entry.engine_address
        self.reserved_tokens += call.accepted.reserved_tokens
        if entry.hold:
            self.held_engines[entry.engine_id] = entry.engine_address
        self.last_activity = max(self.last_activity, entry.dispatched_at)

    def _apply_not_run(self, entry: AttemptNotRun) -> None:
        call = self.calls[entry.call_number]
        call.status = CallStatus.ACCEPTED
        self.reserved_tokens -= call.accepted.reserved_tokens

    def _apply_finished(self, entry: CallFinished) -> None:
        call = self.calls[entry.call_number]
        call.status = CallStatus.FINISHED
        call.finished = entry
        self.reserved_tokens -= call.accepted.reserved_tokens
        self.spent_tokens += entry.prompt_tokens + entry.completion_tokens
        self.history.append(ChatMessage("assistant", entry.text))
        self.last_activity = max(self.last_activity, entry.finished_at)

    def _apply_lost(self, entry: AttemptLost) -> None:
        call = self.calls[entry.call_number]
        call.status = CallStatus.UNKNOWN if entry.final else CallStatus.ACCEPTED
        self.reserved_tokens -= call.accepted.reserved_tokens
        self.spent_tokens += call.accepted.reserved_tokens

    def _apply_refused(self, entry: CallRefused) -> None:
        """Record a refusal; remove an accepted call that never ran from the history."""
        self.refusals[entry.request_id] = entry
        call = self.calls.get(entry.call_number)
        if call is not None and call.status is CallStatus.ACCEPTED:
            del self.history[call.history_start :]
            del self.calls[entry.call_number]

    def _apply_child_settled(self, entry: ChildBudgetSettled) -> None:
        self.child_reservations.pop(entry.child_program_id, None)
        self.settled_children.add(entry.child_program_id)
        self.spent_tokens += entry.spent_tokens

    def available_tokens(self) -> int:
        """Return the number of tokens that can still be reserved."""
        if self.opened is None:
            return 0
        children = sum(self.child_reservations.values())
        return self.opened.budget_tokens - self.spent_tokens - self.reserved_tokens - children

    def next_call_number(self) -> int:
        """Return the number of the next new call."""
        return len(self.calls) + 1

    def unsettled_call(self) -> CallState | None:
        """Return the call that is accepted or dispatched; only the last one can be."""
        if not self.calls:
            return None
        last = self.calls[len(self.calls)]
        return None if last.is_settled() else last

    def is_complete(self) -> bool:
        """Return whether the program ended with all caches released and children settled."""
        return self.ended is not None and not self.held_engines and not self.child_reservations

    def summary(self) -> ProgramReply:
        """Return the reply that describes the program."""
        opened = self.opened
        calls = [
            CallSummary(number, call.status, call.attempt, call.engine_id)
            for number, call in sorted(self.calls.items())
        ]
        return ProgramReply(
            self.program_id,
            opened.tenant if opened else "",
            opened.desk if opened else "",
            "ended" if self.ended else "open",
            opened.budget_tokens if opened else 0,
            self.spent_tokens,
            self.reserved_tokens + sum(self.child_reservations.values()),
            calls,
        )

    def validate_state(self) -> None:
        """Check the invariants of the state, which hold after every entry; for tests.

        :raises InvariantError: if one is violated.
        """
        if self.available_tokens() < 0:
            raise InvariantError(f"{self.program_id} spent or reserved more than its budget")
        if self.reserved_tokens < 0:
            raise InvariantError(f"{self.program_id} released more than it reserved")
        earlier = [call for number, call in self.calls.items() if number < len(self.calls)]
        if any(not call.is_settled() for call in earlier):
            raise InvariantError(f"{self.program_id} has a call after an unsettled call")
