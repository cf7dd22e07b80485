"""Steps about the speeds of servers that gateways observe together."""

import math
import random

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from features.support.placement_model import Fleet, Knowledge, Outcome, PlacementModel
from yarrowwall.relay.paces import PaceKey, PaceSum
from yarrowwall.relay.reading import ReadingRates
from yarrowwall.replication.pace_board import PaceBoard

NOW = 100.0
CALL_SECONDS = 0.1
SEED = 1
REPORT_SECONDS = 0.3
KNOWLEDGE = {"nothing": Knowledge.NONE, "what they observe": Knowledge.SHARED}


def play(fleet: Fleet, knowledge: Knowledge, load: float = 1.0) -> Outcome:
    """Return what a run comes to."""
    return PlacementModel(SEED, REPORT_SECONDS, True, fleet, knowledge, load).run()


def tell(board: PaceBoard, server: str, count: int, seconds: float, at_s: float) -> None:
    """Tell of calls that took so long."""
    board.take({PaceKey("calls", server): PaceSum(count, count * math.log(seconds))}, at_s)


@given("engines of speeds 0.6, 1 and 1.6")
def uneven(context: Context) -> None:
    context.fleet = Fleet((0.6, 1.0, 1.6))


@given("{count:d} engines that are {factor:d} times slower for {seconds:d} s")
def slow_engines(context: Context, count: int, factor: int, seconds: int) -> None:
    context.fleet = Fleet((1.0,), count, float(factor), 4.0, 4.0 + seconds)


@when("{load:f} of the usual programs come and gateways know {knowledge} of the speeds")
def programs_come(context: Context, load: float, knowledge: str) -> None:
    context.outcome = play(context.fleet, KNOWLEDGE[knowledge], load)


@then("{least:d} to {most:d} programs in 1000 are late")
def some_late(context: Context, least: int, most: int) -> None:
    late = 1000 * context.outcome.late / context.outcome.programs
    assert least <= late <= most, context.outcome.late


@then(
    "95 programs in 100 take at most {factor:f} times as long as if the speeds were known,"
    " at the usual load"
)
def near_oracle(context: Context, factor: float) -> None:
    found = play(context.fleet, Knowledge.SHARED)
    oracle = play(context.fleet, Knowledge.TRUE)
    assert found.p95_s <= factor * oracle.p95_s, (found.p95_s, oracle.p95_s)


@then("fewer programs are late if gateways tell what they observe")
def fewer_late(context: Context) -> None:
    found = play(context.fleet, Knowledge.SHARED)
    before = play(context.fleet, Knowledge.NONE)
    assert found.late < before.late, (found.late, before.late)


@then("95 programs in 100 take at most {factor:f} times as long if gateways tell what they observe")
def not_worse(context: Context, factor: float) -> None:
    found = play(Fleet(), Knowledge.SHARED)
    before = play(Fleet(), Knowledge.NONE)
    assert found.p95_s <= factor * before.p95_s, (found.p95_s, before.p95_s)


@given("a pace board that was told of 10 servers of equal speed, ten calls a second at each")
def calm_board(context: Context) -> None:
    context.board = PaceBoard()
    for tenth in range(40):
        for index in range(10):
            tell(context.board, f"s{index}", 1, CALL_SECONDS, NOW - 4.0 + 0.1 * tenth)


@when("{count:d} calls at one of them take {factor:d} times as long")
def turns_slow(context: Context, count: int, factor: int) -> None:
    for number in range(count):
        tell(context.board, "s0", 1, factor * CALL_SECONDS, NOW + 0.1 * number)
    context.now = NOW + 0.1 * count


@then("it is known to take {least:d} to {most:d} times as long as usual")
def known_slow(context: Context, least: int, most: int) -> None:
    factor = context.board.factors(context.now).get("s0", 1.0)
    assert least <= factor <= most, factor


@when("{seconds:d} s pass in which it is as fast as the others")
def fast_again(context: Context, seconds: int) -> None:
    for tenth in range(10 * seconds):
        tell(context.board, f"s{tenth % 3}", 3, CALL_SECONDS, context.now + 0.1 * tenth)
    context.now += seconds


@then("it is known to be as fast as the others")
def as_fast(context: Context) -> None:
    assert "s0" not in context.board.factors(context.now), context.board.factors(context.now)


@given("a pace board that was told of quick calls at one server and long ones at another")
def two_kinds(context: Context) -> None:
    context.board = PaceBoard()
    quick, long = PaceKey("quick", "s0"), PaceKey("long", "s1")
    for step in range(20):
        sums = {quick: PaceSum(5, 5 * math.log(0.02)), long: PaceSum(5, 5 * math.log(0.4))}
        context.board.take(sums, NOW + 0.1 * step)


@then("both are known to be as fast as the others")
def none_differs(context: Context) -> None:
    assert context.board.factors(NOW + 2.0) == {}


_TOLD = st.tuples(
    st.sampled_from("ab"),
    st.sampled_from(["s0", "s1", "s2"]),
    st.integers(1, 1000),
    st.floats(-1e6, 1e6),
    st.floats(0.0, 1e4),
)


@then("factors of any observations lie between {least:f} and {most:d}")
def factors_bounded(context: Context, least: float, most: int) -> None:
    @settings(max_examples=300, deadline=None)
    @for_all(st.lists(_TOLD, max_size=40))
    def check(told: list[tuple[str, str, int, float, float]]) -> None:
        board = PaceBoard()
        for kind, server, count, log_s, at_s in told:
            board.take({PaceKey(kind, server): PaceSum(count, log_s)}, at_s)
            for factor in board.factors(at_s).values():
                assert least - 0.01 <= factor <= most, factor

    check()


@then("reading rates of any observations lie between {least:d} and {most:d} tokens a second")
def rates_bounded(context: Context, least: int, most: int) -> None:
    @settings(max_examples=300, deadline=None)
    @for_all(st.lists(st.tuples(st.integers(-10, 10**7), st.floats(-1.0, 1e4)), max_size=40))
    def check(seen: list[tuple[int, float]]) -> None:
        rates = ReadingRates()
        for tokens, seconds in seen:
            rates.note("models", tokens, seconds)
            assert least - 1e-6 <= rates.tokens_per_s("models") <= most + 1e-6

    check()


@then("{turns:d} turns at an engine that reads {rate:d} tokens a second show it within 15 in 100")
def rate_found(context: Context, turns: int, rate: int) -> None:
    rng = random.Random(SEED)
    rates = ReadingRates()
    for _ in range(turns):
        tokens = rng.choice((200, 600, 1200, 4000))
        rates.note("models", tokens, 0.07 + tokens / rate + rng.expovariate(1 / 0.02))
    assert 0.85 * rate <= rates.tokens_per_s("models") <= 1.15 * rate, rates.tokens_per_s("models")
