"""Steps about requests under which servers ended, without machines."""

import itertools
import time
from collections.abc import Callable
from dataclasses import replace
from http import HTTPStatus
from unittest.mock import Mock

import eventlet
from behave import given, then, when
from behave.runner import Context

from yarrowwall.budgets.budget_requests import Reservation, TokenClaim
from yarrowwall.budgets.open_tries import OpenTries, open_claim_value
from yarrowwall.budgets.stream_keys import claim_key
from yarrowwall.messages.replicated import StoredRecord
from yarrowwall.messages.suspects import (
    FollowSuspects,
    PendingSend,
    ReportSuspects,
    ReserveSend,
    Suspect,
    Suspects,
)
from yarrowwall.model import Attempt, ProgramContext, PromptPart, Server
from yarrowwall.policy.budget_parts import ClaimState
from yarrowwall.policy.crash_suspects import MAX_ENDED_SERVERS, CrashSuspects, UnresolvedSends
from yarrowwall.policy.request_identity import request_identity
from yarrowwall.refusals import RefusedError
from yarrowwall.replication.exceptions import NoQuorumError
from yarrowwall.replication.quorum_client import OwnerReading
from yarrowwall.replication.rounds import Amount
from yarrowwall.replication.table import RecordTable
from yarrowwall.suspects.board import COLLECT_SECONDS, SuspectBoard
from yarrowwall.suspects.client import SuspectClient

REQUEST = "request-1"
RETENTION_S = 60.0
PROGRAM = ProgramContext("program", 1000, 100, "turn-1", 9.0, "session")
ATTEMPT = Attempt(
    "attempt-1", "POST", "/desk/x", "desk", [], b"question", 1.0, 4.0, PROGRAM,
    (PromptPart("ab", 80),), None, None, None, "key", "tenant",
)  # fmt: skip
CHANGES = {
    "attempt id": {"attempt_id": "attempt-2"},
    "time left": {"arrived_at": 2.0, "deadline": 3.0},
    "last event": {"last_event_id": "3"},
    "resumed attempt": {"resumed_attempt": "attempt-1"},
    "API key": {"api_key": "other"},
    "body": {"body": b"other"},
    "target": {"target": "/desk/y"},
    "method": {"method": "PUT"},
    "host": {"host": "other"},
    "tenant": {"tenant": "other"},
    "program": {"program": replace(PROGRAM, program_id="other")},
    "session": {"program": replace(PROGRAM, session_id="other")},
    "previous turn": {"program": replace(PROGRAM, previous_turn="turn-2")},
    "prompt": {"prompt": (PromptPart("cd", 80),)},
}


class FakeClient:
    """Reads the records of one table, or gets no answer."""

    def __init__(self, table: RecordTable) -> None:
        self._table = table
        self.is_answered = True

    def read_amounts(self, group: int, owner: str, timeout: float) -> OwnerReading:
        """Return the amounts of an owner's records."""
        if not self.is_answered:
            raise NoQuorumError(f"group {group} does not answer")
        records = self._table.of_owner(owner)
        amounts = {record.key: Amount(record.version, record.amount) for record in records}
        return OwnerReading(amounts, "", is_complete=True)

    def read_chain(
        self, group: int, key: str, known: list[str], timeout: float
    ) -> dict[str, StoredRecord]:
        """Return a record by key."""
        return {record.key: record for record in self._table.chain(key, known)}


class FakeReplier:
    """Collects what a replica sends to one gateway."""

    def __init__(self) -> None:
        self.replies: list[object] = []
        self.notices: list[object] = []
        self.is_open = True

    def __call__(self, reply: object) -> None:
        """Collect a reply."""
        self.replies.append(reply)

    @property
    def connection(self) -> object:
        """Return the connection, of which each replier here has its own."""
        return self

    def notify(self, message: object) -> bool:
        """Collect a notice."""
        self.notices.append(message)
        return True


@then('a try that differs in its "{field}" {verdict} the same request')
def same_request(context: Context, field: str, verdict: str) -> None:
    other = replace(ATTEMPT, **CHANGES[field])
    assert (request_identity(other) == request_identity(ATTEMPT)) == (verdict == "is")


def suspect(servers: list[str], left_s: float = RETENTION_S) -> Suspect:
    return Suspect(REQUEST, servers, left_s)


@when("reports of {count:d} ends under one request arrive in every order, some of them twice")
def all_orders(context: Context, count: int) -> None:
    reports = [suspect([f"i-{number}"], 10.0 + number) for number in range(count)]
    context.tables = []
    for order in itertools.permutations(reports):
        table = CrashSuspects()
        for report in [*order, order[0], order[-1]]:
            table.merge([report], 0.0)
        context.tables.append(table)
    context.longest_s = 10.0 + count - 1


@then("each order leaves {count:d} ended servers")
def count_left(context: Context, count: int) -> None:
    assert all(len(table.ended(REQUEST, 1.0)) == count for table in context.tables)


@then("none is left once the longest retention is over")
def none_left(context: Context) -> None:
    for table in context.tables:
        assert table.ended(REQUEST, context.longest_s - 0.1)
        assert not table.ended(REQUEST, context.longest_s)
        assert not table.all(context.longest_s)


@given("a request under which {count:d} servers have ended")
def some_ended(context: Context, count: int) -> None:
    context.known = suspect([f"i-{number}" for number in range(count)])
    context.replicas = [CrashSuspects() for _ in range(3)]
    for replica in context.replicas:
        replica.merge([context.known], 0.0)


def reserve(context: Context, send_id: str, replicas: list[CrashSuspects]) -> set[str]:
    """Reserve a send at replicas; return the other sends in progress."""
    request = ReserveSend(REQUEST, PendingSend(send_id, f"server-of-{send_id}", 5.0))
    replies = [replica.reserve(request, 1.0) for replica in replicas]
    return {send.send_id for reply in replies for send in reply.pending}


def may_send(context: Context, pending: set[str]) -> bool:
    return len(context.known.ended) + len(pending) < MAX_ENDED_SERVERS


@when("2 gateways reserve a send at the same moment")
def reserve_both(context: Context) -> None:
    # The reservations reach the replicas in different orders.
    first, second, third = context.replicas
    context.seen = {"a": reserve(context, "a", [first]), "b": reserve(context, "b", [third])}
    context.seen["b"] |= reserve(context, "b", [second, first])
    context.seen["a"] |= reserve(context, "a", [second, third])


@then("at most one of them may send")
def at_most_one(context: Context) -> None:
    assert sum(may_send(context, pending) for pending in context.seen.values()) <= 1


@then("one may send once the other's outcome is known")
def one_after(context: Context) -> None:
    for replica in context.replicas:
        replica.release(REQUEST, "a")
    assert may_send(context, reserve(context, "b", context.replicas))


@then("a send that is never released counts for as long as it may last")
def lost_release(context: Context) -> None:
    replica = context.replicas[0]
    replica.reserve(ReserveSend(REQUEST, PendingSend("lost", "i-8", 5.0)), 1.0)
    request = ReserveSend(REQUEST, PendingSend("next", "i-9", 5.0))
    assert "lost" in {send.send_id for send in replica.reserve(request, 5.9).pending}
    assert "lost" not in {send.send_id for send in replica.reserve(request, 6.0).pending}


@when('another suspect is sent to server "{server}"')
def other_suspect(context: Context, server: str) -> None:
    replica = context.replicas[0]
    replica.merge([Suspect("request-2", ["i-0"], RETENTION_S)], 0.0)
    replica.reserve(ReserveSend("request-2", PendingSend("c", server, 5.0)), 1.0)


@then('a reservation of the request names "{server}" as occupied')
def occupied(context: Context, server: str) -> None:
    request = ReserveSend(REQUEST, PendingSend("a", "i-1", 5.0))
    assert context.replicas[0].reserve(request, 1.0).occupied == [server]


@when("a send is unresolved and its server ends {seconds:f} s later")
def unresolved(context: Context, seconds: float) -> None:
    sends = UnresolvedSends()
    sends.note(REQUEST, "i-1", 1.0)
    sends.note("request-2", "i-2", 1.0)
    context.found = sends.take("i-1", 1.0 + seconds)


@then("the end counts under the request")
def counts(context: Context) -> None:
    assert context.found == [REQUEST]


@then("the end does not count under the request")
def does_not_count(context: Context) -> None:
    assert context.found == []


@when("a gateway follows a replica directly and then through a neighbour, and an end is reported")
def follows_twice(context: Context) -> None:
    board = SuspectBoard(lambda: 1.0)
    context.followers = [FakeReplier(), FakeReplier()]
    for replier in context.followers:
        board.handle(FollowSuspects("edge-0", []), replier)
    board.handle(ReportSuspects([context.known]), FakeReplier())
    eventlet.sleep(2.0 * COLLECT_SECONDS)


@then("both connections are told of {count:d} ended servers")
def both_told(context: Context, count: int) -> None:
    for replier in context.followers:
        (notice,) = replier.notices
        assert [len(one.ended) for one in notice.suspects] == [count], notice


@when("a gateway follows a replica over {count:d} connections, one after the other")
def follows_anew(context: Context, count: int) -> None:
    context.board = SuspectBoard(lambda: 1.0)
    for _ in range(count):
        replier = FakeReplier()
        context.board.handle(FollowSuspects("edge-0", []), replier)
        replier.is_open = False


@then("the replica keeps {count:d} connection")
def connections_kept(context: Context, count: int) -> None:
    assert len(context.board._followers) == count, context.board._followers


@when("a replica starts again and a gateway that knows of them follows it")
def replica_restarts(context: Context) -> None:
    context.board = SuspectBoard(lambda: 1.0)
    context.other, knowing = FakeReplier(), FakeReplier()
    context.board.handle(FollowSuspects("edge-0", []), context.other)
    context.board.handle(FollowSuspects("edge-1", [context.known]), knowing)
    eventlet.sleep(2.0 * COLLECT_SECONDS)


@then("the replica knows of {count:d} ended servers and has told the other gateways")
def replica_knows(context: Context, count: int) -> None:
    third = FakeReplier()
    context.board.handle(FollowSuspects("edge-2", []), third)
    for message in (*third.replies, *context.other.notices):
        assert isinstance(message, Suspects)
        assert [len(one.ended) for one in message.suspects] == [count]
    assert context.other.notices


def put_claim(context: Context, state: ClaimState, value: bytes) -> None:
    """Store the claim of an earlier try, whose route is resumable."""
    key = claim_key("program", "earlier", "software")
    record = StoredRecord(key, state, "program", "", RETENTION_S, 100, value)
    context.claims.put([record], 0.0)


@given("an open claim of {request} beside a new try")
def open_claim(context: Context, request: str) -> None:
    context.claims = RecordTable()
    identity = REQUEST if request == "the same request" else "request-2"
    put_claim(context, ClaimState.RESERVED, open_claim_value(identity))
    key = claim_key("program", "new", "software")
    claim = TokenClaim("program", "program", "new", key, 100, RETENTION_S, 0, REQUEST)
    client = FakeClient(context.claims)
    others = client.read_amounts(0, "program", 1.0).amounts
    reservation = Reservation(claim, {0: 100}, 100, "", False, [0], {0: others})
    context.client, context.open_tries = client, OpenTries(client, reservation)


@then("it {counts} as a try that may still run")
def counts_as_open(context: Context, counts: str) -> None:
    expected = {"earlier"} if counts == "counts" else set()
    assert context.open_tries.attempts() == expected, context.open_tries.attempts()


@then("it {counts} as a try that may still run while its group does not answer")
def counts_unanswered(context: Context, counts: str) -> None:
    context.client.is_answered = False
    counts_as_open(context, counts)
    context.client.is_answered = True


@then("it does not count once it is settled")
def settled(context: Context) -> None:
    put_claim(context, ClaimState.SETTLED, b"i-1")
    assert context.open_tries.attempts() == set()


class FakeReplica:
    """A link to a replica, which replies from its board after a while or never."""

    def __init__(self, board: SuspectBoard) -> None:
        self._board = board
        self.delay_s: float | None = 0.0

    def post_directly(self, message: object, completion: Callable[[object], None]) -> int:
        """Send a request."""
        replier = FakeReplier()
        self._board.handle(message, replier)
        if self.delay_s is not None:
            for reply in replier.replies:
                eventlet.spawn_after(self.delay_s, completion, reply)
        return 0

    def forget_direct(self, number: int) -> None:
        """Stop waiting for a reply."""

    def send_one_way(self, message: object) -> None:
        """Send a message without a reply."""
        self._board.handle(message, FakeReplier())


def _suspects_of(count: int) -> list[Suspect]:
    ended = [f"server-{number}" for number in range(count)]
    return [Suspect(request_identity(ATTEMPT), ended, RETENTION_S)] if count else []


@given(
    "a gateway that knows of {known:d} {word} that ended under a request,"
    " and 3 replicas of {ended:d}"
)
def gateway_with_replicas(context: Context, known: int, word: str, ended: int) -> None:
    board = SuspectBoard(time.monotonic)
    board.handle(ReportSuspects(_suspects_of(ended)), FakeReplier())
    context.replicas = [FakeReplica(board) for _ in range(3)]
    # The gateway is not told of the others' reports, as if its connections had been delayed.
    links = Mock()
    links.paths.has_working_neighbour.return_value = False
    links.get.side_effect = context.replicas.__getitem__
    views = Mock()
    views.report_replicas.return_value = [Mock(address=number) for number in range(3)]
    context.gateway = SuspectClient("edge-0", views, links, Mock(), Mock(), time.monotonic)
    context.gateway._note_message(Suspects(_suspects_of(known)))


@when("the replicas reply {when}")
def replicas_reply(context: Context, when: str) -> None:
    delays_s = {"at once": 0.0, "after 0.15 s": 0.15, "never": None}
    for replica in context.replicas:
        replica.delay_s = delays_s[when]


@then("the request is {verdict}")
def request_verdict(context: Context, verdict: str) -> None:
    server = Server("server-9", "desk", "127.0.0.1:1", "zone-a", 6, False)
    try:
        context.gateway.reserve(ATTEMPT, server, 3.0, list)
    except RefusedError as error:
        assert error.refusal.status == HTTPStatus.SERVICE_UNAVAILABLE
        is_final = error.refusal.retry_after_s is None
        assert verdict == (
            "refused for good" if is_final else "refused for now since no replica tells"
        ), error.refusal
        return
    assert verdict == "sent on"
