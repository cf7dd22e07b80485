"""Mutants of the relay of resumed turns, each to be detected by their schedules."""

from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import Any
from unittest.mock import patch

from yarrowwall.budgets.ledger_grant import LedgerGrant
from yarrowwall.dispatch.caller_position import CallerPosition
from yarrowwall.dispatch.streams import StreamRelay
from yarrowwall.event_stream import Event

_begin = StreamRelay.__init__
_complete = LedgerGrant.complete


def _resume_at_the_caller(self: StreamRelay, *arguments: Any) -> None:
    _begin(self, *arguments)
    self._last_event_id = self._attempt.last_event_id
    self._caller_position = CallerPosition("")


def _store_what_was_relayed(
    self: LedgerGrant, repeated: list[Event], relayed: list[Event], server_id: str
) -> None:
    _complete(self, [], relayed, server_id)


def _relay_all(self: CallerPosition, events: list[Event]) -> tuple[list[Event], list[Event]]:
    return [], events


def _drop_a_batch(self: CallerPosition, events: list[Event]) -> tuple[list[Event], list[Event]]:
    if self._is_reached:
        return [], events
    self._is_reached = any(event.event_id == self._last_event_id for event in events)
    return events, []


MUTANTS: dict[str, Callable[[], AbstractContextManager[Any]]] = {
    "resumes at the caller's last event": lambda: patch.object(
        StreamRelay, "__init__", _resume_at_the_caller
    ),
    "stores what it relayed alone": lambda: patch.object(
        LedgerGrant, "complete", _store_what_was_relayed
    ),
    "relays what its caller has": lambda: patch.object(CallerPosition, "split", _relay_all),
    "takes a batch for what its caller has": lambda: patch.object(
        CallerPosition, "split", _drop_a_batch
    ),
}
