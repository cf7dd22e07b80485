"""Relays event streams: every event as it arrives, once and in order."""

from collections.abc import Iterator
from http import HTTPStatus
from typing import NoReturn

from yarrowwall.dispatch.answer_bounds import (
    MAX_EVENT_BYTES,
    AnswerBound,
    AnswerBoundError,
    AnswerUnfinishedError,
)
from yarrowwall.dispatch.caller_position import CallerPosition
from yarrowwall.dispatch.components import DispatchComponents
from yarrowwall.dispatch.sender import AttemptSender, OpenAnswer
from yarrowwall.event_stream import Event, EventSplitter
from yarrowwall.exceptions import (
    AnswerTimeoutError,
    ConnectionBrokenError,
    RelayError,
    StreamPositionError,
)
from yarrowwall.model import Attempt, Route
from yarrowwall.policy.memory_budget import MemoryExhaustedError
from yarrowwall.refusals import RefusedError

#: Stands for an event that was relayed and is not kept.
_RELAYED = Event(b"", None)


class StreamBrokenError(RelayError):
    """A stream whose first events were relayed cannot be completed."""


class StreamRelay:
    """Relays one stream from servers to its caller.

    Only complete events are relayed. While the caller does not read, nothing more is read from the
    server, so that only the kernel's buffers fill up. If the route allows it, another server of the
    same software may resume the stream; the caller sees a single response.

    A turn that will be stored needs every event, so if its caller resumes the stream, it is run
    again from its start, and the events that the caller has are not relayed. Whoever continues a
    stream has only the request, so the first events are the same in each run.

    :ivar repeated: events that the caller had before, if the route is stateful.
    :ivar relayed: events that were relayed; placeholders if the route is not stateful.
    """

    def __init__(
        self, components: DispatchComponents, attempt: Attempt, route: Route, sender: AttemptSender
    ) -> None:
        self._components = components
        self._attempt = attempt
        self._route = route
        self._sender = sender
        self._splitter = EventSplitter()
        #: The event after which the next server continues the stream.
        self._last_event_id = None if route.is_stateful else attempt.last_event_id
        self._caller_position = CallerPosition(
            (attempt.last_event_id or "") if route.is_stateful else ""
        )
        self._last_event_at = 0.0
        #: Whether the server was read after the request's time was over.
        self._has_read_late = False
        self.repeated: list[Event] = []
        self.relayed: list[Event] = []

    def open(self) -> OpenAnswer:
        """Send the attempt until a server starts to answer it.

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
        """Return the events in the batches in which they arrive.

        :raises RefusedError: if the stream fails before its first event.
        :raises StreamBrokenError: if it fails later and cannot be resumed.
        """
        while True:
            try:
                events = self._read()
                if events is None:
                    self._caller_position.check_reached()
                    return
                repeated, events = self._caller_position.split(events)
            except MemoryExhaustedError as error:
                self._sender.cancel_oversized(error)
                self._fail(error)
            except StreamPositionError as error:
                self._sender.cancel_answer()
                self._fail(error)
            except RelayError as error:
                self._resume_elsewhere(error)
                continue
            if repeated:
                self._note_events(repeated)
                self.repeated += repeated
            if events:
                self._note_events(events)
                # Turns of stateful routes are stored in full; for others their number suffices.
                kept = self._route.is_stateful
                self.relayed += events if kept else [_RELAYED] * len(events)
                yield events
                if not self._route.is_stateful:
                    self._sender.release_answer_memory(sum(len(event.raw) for event in events))

    def _read(self) -> list[Event] | None:
        """Return the next events; None at the end of the stream."""
        opened = self._sender.current
        if opened is None:
            raise ConnectionBrokenError("no server streams")
        data = self._receive(opened)
        if data:
            events = self._splitter.feed(data)
            if len(self._splitter.rest) > MAX_EVENT_BYTES:
                received = opened.connection.received_bytes
                raise AnswerBoundError(AnswerBound.EVENT, received, MAX_EVENT_BYTES)
            return events
        if self._splitter.rest:
            raise ConnectionBrokenError("the stream ended within an event")
        return None

    def _receive(self, opened: OpenAnswer) -> bytes:
        """Return the next bytes, waiting for them as long as the rules allow.

        :raises AnswerTimeoutError: if none arrive by then.
        """
        rules, incarnation = self._sender.rules, opened.send.server.incarnation
        self._check_time(opened)
        while True:
            try:
                data = opened.connection.read_some(rules.next_check_s(self._components.now()))
            except AnswerTimeoutError as error:
                now = self._components.now()
                if rules.should_keep_waiting(incarnation, self._last_event_at, now):
                    continue
                if self._sender.left_s() <= 0.0:
                    raise self._unfinished(opened) from error
                raise
            self._components.directory.note_heard(incarnation, self._components.now())
            self._sender.hold_answer_memory(len(data))
            return data

    def _check_time(self, opened: OpenAnswer) -> None:
        """Check that the request has time left.

        Events that arrived while the process was delayed are read once after the end.

        :raises AnswerUnfinishedError: if a read began after the end already.
        """
        if self._sender.left_s() > 0.0:
            return
        if self._has_read_late:
            raise self._unfinished(opened)
        self._has_read_late = True

    def _unfinished(self, opened: OpenAnswer) -> AnswerUnfinishedError:
        seconds = self._components.now() - opened.sent_at
        return AnswerUnfinishedError(opened.connection.received_bytes, seconds)

    def _note_events(self, events: list[Event]) -> None:
        now = self._components.now()
        opened = self._sender.current
        if not self._has_events:
            self._sender.pin_software()
        elif opened is not None:
            gap = (now - self._last_event_at) / len(events)
            self._components.directory.note_service_time(opened.send.server.incarnation, gap, now)
        self._last_event_at = now
        self._last_event_id = events[-1].event_id or self._last_event_id

    @property
    def _has_events(self) -> bool:
        return bool(self.repeated or self.relayed)

    def _resume_elsewhere(self, error: RelayError) -> None:
        """Resume the stream at another server.

        :raises RefusedError: if no server resumes it and no event was relayed.
        :raises StreamBrokenError: if no server resumes it after events were relayed.
        """
        opened = self._sender.current
        self._sender.cancel_answer()
        if opened is not None:
            self._sender.note_failure(opened.send.server, error)
            if self._has_events:
                # It may be the last server of its version, and only the connection broken.
                self._sender.allow_again(opened.send.server)
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
        """Finish the stream, which was read to its end."""
        self._sender.finish_answer()
