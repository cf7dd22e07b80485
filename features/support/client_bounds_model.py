"""Random clients before the rules that bound what a process keeps for them, and mutants."""

import random
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager
from typing import Any
from unittest.mock import patch

from features.support.crowd_clients import KINDS, drawn_head
from yarrowwall.gateway import request_parser
from yarrowwall.gateway.request_parser import MalformedRequestError, RequestParser
from yarrowwall.messages.replicated import StoredRecord
from yarrowwall.policy import record_room
from yarrowwall.policy.connection_budget import (
    RECEIVE_BUFFER_BYTES,
    ConnectionBounds,
    ConnectionBudget,
    ConnectionHold,
    ConnectionsExhaustedError,
    ConnectionState,
)
from yarrowwall.policy.record_room import RecordRoom
from yarrowwall.replication import table as record_table
from yarrowwall.replication.table import RecordTable

MAX_HEAD_BYTES = 4096
MAX_PIECE_BYTES = 8192
#: Bytes that a parser's objects may take beside the text that they keep.
OBJECT_BYTES = 4096
ROUNDS = 60
FIRST_SEED = 8400

# The parser


def _stream(rng: random.Random) -> bytes:
    """Return bytes of a client: requests of some kind, without an end."""
    kind = rng.choice([*KINDS, "empty lines", "long head", "small heads", "drawn"])
    if kind == "empty lines":
        return b"\r\n" * rng.randint(10, 20_000)
    if kind == "long head":
        return b"GET /x HTTP/1.1\r\n" + b"a:\r\n" * 20_000
    if kind == "small heads":
        return b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n" * 2_000
    if kind == "drawn":
        return drawn_head(rng) * 4
    return KINDS[kind].payload[:120_000]


def _objects_of(parser: RequestParser) -> int:
    """Return an estimate of the bytes that a parser keeps: its texts, and each object in a list."""
    found, stack, seen = 0, [parser.__dict__], set()
    while stack:
        value = stack.pop()
        if id(value) in seen:
            continue
        seen.add(id(value))
        if isinstance(value, bytes | bytearray | str):
            found += len(value)
        elif isinstance(value, dict):
            stack += value.values()
        elif isinstance(value, list | tuple) or type(value).__name__ == "deque":
            found += 50 * len(value)
            stack += value
        elif type(value).__module__.startswith("yarrowwall"):
            found += 100
            slots = getattr(type(value), "__slots__", ())
            stack += [getattr(value, name) for name in slots]
            stack += [value.__dict__] if hasattr(value, "__dict__") else []
    return found


def check_parser(seed: int) -> None:
    """Feed a random stream, taking bodies as they come; check what is kept after each piece."""
    rng = random.Random(seed)
    parser, data = RequestParser(MAX_HEAD_BYTES), _stream(rng)
    position, takes = 0, rng.random() < 0.5
    # What has arrived while a request is answered is one piece: nobody reads on before its end.
    bound = 2 * MAX_HEAD_BYTES + 2 * MAX_PIECE_BYTES + OBJECT_BYTES
    while position < len(data):
        size = rng.choice((1, 7, 100, 1000, MAX_PIECE_BYTES))
        parser.feed(data[position : position + size])
        position += size
        kept = _objects_of(parser)
        assert kept <= bound, f"seed {seed}: {kept} bytes are kept"
        assert parser.held_bytes <= bound, f"seed {seed}: {parser.held_bytes} bytes"
        try:
            while parser.head() is not None:
                while taken := parser.body_piece():
                    pass
                if taken is None:
                    break
                if not takes:
                    # The request is being answered; the connection is not read meanwhile.
                    return
                parser.finish_request()
        except MalformedRequestError:
            return


# The budget of connections


class _Client:
    """A connection of a random client."""

    def __init__(self) -> None:
        self.hold: ConnectionHold | None = None
        self.is_ended = False
        self.heads = 0


def check_budget(seed: int) -> None:
    """Play random clients; check the bounds and who ends after each step."""
    rng = random.Random(seed)
    bounds = ConnectionBounds(rng.randint(2, 12), rng.choice((120, 400, 1200)) * 1024)
    budget = ConnectionBudget(bounds)
    clients: list[_Client] = []
    unread = 0
    for _ in range(ROUNDS):
        answering = {id(client) for client in clients if _is_in(client, ConnectionState.ANSWERING)}
        silent = [client for client in clients if _is_in(client, ConnectionState.SILENT)]
        idle = [client for client in clients if _is_in(client, ConnectionState.IDLE)]
        unread += _step(rng, budget, clients)
        for client in clients:
            if client.is_ended:
                assert id(client) not in answering, f"seed {seed}: an answered request ended"
        if any(client.is_ended for client in idle):
            assert all(
                client.is_ended or not _is_in(client, ConnectionState.SILENT) for client in silent
            ), f"seed {seed}: an idle connection ended before a silent one"
        clients = [client for client in clients if not _is_closed(client)]
        live = [client.hold for client in clients if client.hold is not None]
        expected = sum(hold.size for hold in live)
        assert len(live) <= bounds.connections, f"seed {seed}: {len(live)} connections"
        assert budget.count == len(live), f"seed {seed}: {budget.count} are counted"
        assert budget.memory == expected, f"seed {seed}: {budget.memory} of {expected} bytes"
        heads = sum(client.heads for client in clients)
        assert heads <= bounds.memory, f"seed {seed}: {heads} bytes of heads"
        assert budget.memory <= bounds.memory + unread, f"seed {seed}: {budget.memory} bytes"


def _is_in(client: _Client, state: ConnectionState) -> bool:
    return client.hold is not None and not client.is_ended and client.hold.state is state


def _is_closed(client: _Client) -> bool:
    """Close a connection that was ended; return whether it is closed."""
    if client.hold is not None and client.is_ended:
        client.hold.close()
        client.hold = None
    return client.hold is None


def _step(rng: random.Random, budget: ConnectionBudget, clients: list[_Client]) -> int:
    """Let one client do something; return the bytes that could not be refused."""
    if not clients or rng.random() < 0.4:
        client = _Client()

        def end() -> None:
            client.is_ended = True

        try:
            client.hold = budget.open(end)
        except ConnectionsExhaustedError:
            return 0
        clients.append(client)
        return 0
    client = rng.choice(clients)
    hold = client.hold
    assert hold is not None
    size = rng.choice((100, 2_000, 16_000))
    try:
        if hold.state in (ConnectionState.SILENT, ConnectionState.IDLE):
            hold.read(size)
            client.heads = size
        elif hold.state is ConnectionState.READING:
            hold.process(size)
            client.heads = 2 * size
            if rng.random() < 0.7:
                hold.answer()
        elif rng.random() < 0.2:
            hold.note_unread()
            return RECEIVE_BUFFER_BYTES
        else:
            client.heads = 0
            hold.rest()
    except ConnectionsExhaustedError:
        client.heads = 0
        hold.close()
        client.hold = None
    return 0


# The room for records


def check_room(seed: int) -> None:
    """Store random records as replicas do; check the room, and who is refused."""
    rng = random.Random(seed)
    room = RecordRoom(200_000)
    table = RecordTable(room)
    for number in range(400):
        owner = f"p{rng.randint(0, 300)}"
        is_known = any(True for _ in table.of_owner(owner))
        value = b"v" * rng.choice((0, 100, 2_000))
        record = StoredRecord(f"k{number}", 1, owner, "", 1.0, 0, value)
        is_reservation = rng.random() < 0.4
        is_taken = table.accepts_reservation(record) if is_reservation else table.accepts([record])
        if is_known and len(value) <= record_room.SMALL_VALUE_BYTES:
            assert is_taken, f"seed {seed}: a record of a program under way was refused"
        if is_taken:
            table.put([record], float(number))
        if not is_known and is_taken:
            assert len(_live(table)) * 1000 <= room.limit, (
                f"seed {seed}: {len(_live(table))} owners"
            )
        if len(value) > record_room.SMALL_VALUE_BYTES and is_taken and not is_reservation:
            assert _real_size(table) <= room.limit + 10_000, f"seed {seed}: {_real_size(table)}"
    table.drop(_live(table), 1e9)
    assert room.used == 0, f"seed {seed}: {room.used} bytes are left"


def _live(table: RecordTable) -> list[str]:
    return [record.owner for record in table.all()]


def _real_size(table: RecordTable) -> int:
    return sum(len(record.value) + 800 for record in table.all())


# Mutants


def _parses_ahead() -> AbstractContextManager[Any]:
    def feed(self: RequestParser, data: bytes) -> None:
        self.__dict__.setdefault("ahead", []).extend(data.split(b"\r\n"))

    return patch.object(RequestParser, "feed", feed)


def _no_empty_lines() -> AbstractContextManager[Any]:
    real = RequestParser._check_unfinished_head

    def check(self: RequestParser) -> None:
        if self._request is not None:
            real(self)
        else:
            self.__dict__.setdefault("dropped", bytearray()).extend(self._tail)

    return patch.object(RequestParser, "_check_unfinished_head", check)


def _no_unfinished() -> AbstractContextManager[Any]:
    return patch.object(RequestParser, "_check_unfinished_head", lambda self: None)


def _body_pieces() -> AbstractContextManager[Any]:
    real = request_parser.RequestParser.on_body

    def on_body(self: RequestParser, data: bytes) -> None:
        real(self, data)
        self.__dict__.setdefault("pieces", []).append(data)

    return patch.object(RequestParser, "on_body", on_body)


def _without_count() -> AbstractContextManager[Any]:
    return patch.object(ConnectionBudget, "count", property(lambda self: 0))


def _without_heads() -> AbstractContextManager[Any]:
    return patch.object(ConnectionBudget, "_make_room", lambda *arguments: None)


def _ends_in_order(*states: ConnectionState) -> AbstractContextManager[Any]:
    """Return a mutant that ends connections in these states, in another order."""

    def end_first(self: ConnectionBudget, but: ConnectionHold | None = None) -> bool:
        holds = [hold for state in states for hold in self._by_state[state].values()]
        ended = next((hold for hold in holds if hold is not but), None)
        if ended is not None:
            self._end(ended)
        return ended is not None

    return patch.object(ConnectionBudget, "_end_first", end_first)


def _ends_answering() -> AbstractContextManager[Any]:
    return _ends_in_order(ConnectionState.ANSWERING, ConnectionState.SILENT)


def _forgets_nothing() -> AbstractContextManager[Any]:
    return patch.object(ConnectionBudget, "remove", lambda self, hold: None)


def _idle_first() -> AbstractContextManager[Any]:
    return _ends_in_order(ConnectionState.IDLE, ConnectionState.READING, ConnectionState.SILENT)


def _takes_new_owners() -> AbstractContextManager[Any]:
    return patch.multiple(record_room, RESERVATION_WATERMARK=1e9, NEW_OWNER_WATERMARK=1e9)


def _takes_all() -> AbstractContextManager[Any]:
    return patch.object(RecordRoom, "_is_below", lambda self, share: True)


def _refuses_small() -> AbstractContextManager[Any]:
    return patch.object(
        RecordRoom,
        "accepts_record",
        lambda self, value_bytes, is_known_owner: self._is_below(record_room.NEW_OWNER_WATERMARK),
    )


def _counts_no_owners() -> AbstractContextManager[Any]:
    real = RecordTable.drop

    def drop(self: RecordTable, owners: Any, now: float) -> int:
        self._room.used += record_table.OWNER_BYTES
        return real(self, owners, now)

    return patch.object(RecordTable, "drop", drop)


Check = Callable[[int], None]
RULES: dict[str, Check] = {
    "a parser": check_parser,
    "a budget of connections": check_budget,
    "a room for records": check_room,
}
MUTANTS: dict[str, Callable[[], AbstractContextManager[Any]]] = {
    "parses ahead": _parses_ahead,
    "does not bound empty lines": _no_empty_lines,
    "does not bound unfinished heads": _no_unfinished,
    "keeps each piece of a body": _body_pieces,
    "counts no connections": _without_count,
    "counts no heads": _without_heads,
    "ends requests that are answered": _ends_answering,
    "forgets nothing": _forgets_nothing,
    "ends idle connections first": _idle_first,
    "takes every new owner": _takes_new_owners,
    "takes every record": _takes_all,
    "refuses settlements": _refuses_small,
    "counts no owners": _counts_no_owners,
}


def seeds(count: int) -> Iterator[int]:
    """Yield the seeds of a check."""
    yield from range(FIRST_SEED, FIRST_SEED + count)
