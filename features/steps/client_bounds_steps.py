"""Steps about the rules that bound what clients can make a process keep."""

import os
import random

from behave import given, then
from behave.runner import Context

from features.support.client_bounds_model import (
    MUTANTS,
    RULES,
    check_budget,
    check_parser,
    check_room,
    seeds,
)
from yarrowwall.decisions import AttemptRefused, DecisionLog
from yarrowwall.policy.client_ids import kept_id

ALPHABET = "abcXYZ019-_./:{}\xe4\xff"


@then("in {count:d} random streams of requests a parser keeps no more than its bounds")
def parser_holds(context: Context, count: int) -> None:
    for seed in seeds(count):
        check_parser(seed)


@then("in {count:d} random series of clients the budget of connections holds")
def budget_holds(context: Context, count: int) -> None:
    for seed in seeds(count):
        check_budget(seed)


@then("in {count:d} random series of records the room for records holds")
def room_holds(context: Context, count: int) -> None:
    for seed in seeds(count):
        check_room(seed)


@then("{count:d} random ids are kept in at most {length:d} characters, each as an id of its own")
def ids_hold(context: Context, count: int, length: int) -> None:
    rng = random.Random(84)
    chosen = {
        "".join(rng.choices(ALPHABET, k=rng.choice((1, 40, 128, 129, 9000)))) for _ in range(count)
    }
    # What stands for a long id may be chosen as an id too.
    chosen |= {kept_id(text) for text in chosen}
    kept = {kept_id(text) for text in chosen}
    assert len(kept) == len(chosen), (len(kept), len(chosen))
    assert max(map(len, kept)) <= length
    usual = [text for text in chosen if len(text) <= length and not text.startswith("id-digest-")]
    assert all(kept_id(text) == text for text in usual)


@then("a decision with {size:d} characters in each field is logged in at most {limit:d} bytes")
def line_is_bounded(context: Context, size: int, limit: int) -> None:
    reading, writing = os.pipe()
    log = DecisionLog("edge-0", descriptor=writing)
    log.write(AttemptRefused("a" * size, 400, "b" * size, 0.0))
    line = os.read(reading, 1024 * 1024)
    os.close(reading)
    os.close(writing)
    assert 0 < len(line) <= limit, len(line)


@given("the code of {rule}, which {mutant}")
def mutant(context: Context, rule: str, mutant: str) -> None:
    context.check = RULES[rule]
    replaced = MUTANTS[mutant]()
    replaced.start() if hasattr(replaced, "start") else replaced.__enter__()
    context.add_cleanup(replaced.stop)


@then("the random series find that it does not hold")
def mutant_found(context: Context) -> None:
    for seed in seeds(300):
        try:
            context.check(seed)
        except AssertionError:
            return
    raise AssertionError("the mutant was not detected")
