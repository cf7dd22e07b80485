"""Relaying of event streams: each event as it comes, each once, in order."""

from collections.abc import Iterator
from http import HTTPStatus
from typing import NoReturn

from yarrowwall.dispatch.components import DispatchComponents
from yarrowwall.dispatch.sender import AttemptSender, OpenAnswer
from yarrowwall.event_stream import Event, EventSplitter
from yarrowwall.exceptions import AnswerTimeoutError, ConnectionBrokenError, RelayError
from yarrowwall.model import Attempt, Route
from yarrowwall.policy.memory_budget import MemoryExhaustedError
from yarrowwall.refusals import RefusedError


class StreamBrokenError(RelayError):
    """A stream whose beginning was passed on cannot be completed."""


class StreamRelay:
    """One stream from its servers to its caller.

    Only whole events are passed on. What the caller does not take holds up the reading of what
    follows, so that stays at the server but for what the kernel holds. The stream may come from
    one server after another if its route allows that; the caller sees one answer.
    """

    def __init__(
        self, components: DispatchComponents, attempt: Attempt, route: Route, sender: AttemptSender
    ) -> None:
        self._components = components
        self._attempt = attempt
        self._route = route
        self._sender = sender
        self._splitter = EventSplitter()
        self._last_event_id = attempt.last_event_id
        self._last_event_at = 0.0
        self.relayed: list[Event] = []

    def open(self) -> OpenAnswer:
        """Send the attempt until a server begins to answer it.

        :raises RefusedError: if none does.
        """
        opened = self._sender.open(self._last_event_id)
        self._begin(opened)
        return opened

    def _begin(self, opened: OpenAnswer) -> None:
        self._splitter = EventSplitter()
        self._last_event_at = opened.sent_at
        if opened.answer.status == HTTPStatus.OK:
            state = self._components.directory.state_of(opened.send.server.incarnation)
            if state is not None:
                state.prefix_cache.note_sent(self._attempt.prompt)

    def events(self) -> Iterator[list[Event]]:
        """Return the events in the groups in which they arrive.

        :raises RefusedError: if the stream fails before its first event.
        :raises StreamBrokenError: if it cannot be completed.
        """
        while True:
            try:
                events = self._read()
            except MemoryExhaustedError as error:
                self._sender.cancel_answer()
                self._fail(error)
            except RelayError as error:
                self._go_on_elsewhere(error)
                continue
            if events is None:
                return
            if events:
                self._note(events)
                yield events
                if not self._route.is_stateful:
                    self._sender.release_answer_memory(sum(len(event.raw) for event in events))

    def _read(self) -> list[Event] | None:
        """Return the events that arrive next; None at the end of the stream."""
        opened = self._sender.current
        if opened is None:
            raise ConnectionBrokenError("no server streams")
        data = self._receive(opened)
        if data:
            return self._splitter.feed(data)
        if self._splitter.rest:
            raise ConnectionBrokenError("the stream ended within an event")
        return None

    def _receive(self, opened: OpenAnswer) -> bytes:
        """Return the bytes that arrive next, as long as the server is worth waiting for.

        :raises AnswerTimeoutError: if it is not, or the time is over.
        """
        rules, incarnation = self._sender.rules, opened.send.server.incarnation
        while True:
            try:
                data = opened.connection.read_some(rules.next_check_s(self._components.now()))
            except AnswerTimeoutError:
                if not rules.should_keep_waiting(
                    incarnation, self._last_event_at, self._components.now()
                ):
                    raise
                continue
            self._components.directory.note_heard(incarnation, self._components.now())
            self._sender.hold_answer_memory(len(data))
            return data

    def _note(self, events: list[Event]) -> None:
        now = self._components.now()
        opened = self._sender.current
        if self.relayed and opened is not None:
            gap = (now - self._last_event_at) / len(events)
            self._components.directory.note_service_time(opened.send.server.incarnation, gap, now)
        self._last_event_at = now
        self._last_event_id = events[-1].event_id or self._last_event_id
        # A turn of a stateful route is stored whole; of others only the count is needed.
        kept = self._route.is_stateful
        self.relayed += events if kept else [Event(b"", event.event_id) for event in events]

    def _go_on_elsewhere(self, error: RelayError) -> None:
        """Resume the stream at another server.

        :raises RefusedError: if nothing was passed on and no server goes on.
        :raises StreamBrokenError: if something was.
        """
        opened = self._sender.current
        self._sender.cancel_answer()
        if opened is not None:
            self._sender.note_failure(opened.send.server, error)
        if not self._sender.rules.may_resume(self._components.now()):
            self._fail(error)
        try:
            again = self._sender.open(self._last_event_id)
        except RefusedError as refused:
            self._fail(refused)
        if again.answer.status != HTTPStatus.OK:
            self._sender.cancel_answer()
            self._fail(error)
        self._begin(again)

    def _fail(self, error: RelayError) -> NoReturn:
        if self.relayed:
            raise StreamBrokenError(str(error)) from error
        if isinstance(error, RefusedError):
            raise error
        raise self._sender.refused(str(error)) from error

    def finish(self) -> None:
        """Leave the stream, which was read to its end."""
        self._sender.finish_answer()

    def cancel(self) -> None:
        """Cancel the stream at its server."""
        self._sender.cancel_answer()
