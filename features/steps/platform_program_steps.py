"""Steps about programs: budgets and conversations."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor

from behave import then, when
from behave.runner import Context

from features.support.platform_scripts import (
    arrivals,
    world,
)
from features.support.processes import wait_until

# Programs


def turn(context: Context, route: str, program: str, budget: int, gateway: int = 0, **headers):
    return world(context).ask(
        route,
        headers.pop("text", "question").encode(),
        gateway,
        X_Program_Id=program,
        X_Session_Id=headers.pop("session", program),
        X_Token_Budget=str(budget),
        X_Token_Count="100,40",
        **headers,
    )


@when(
    "{count:d} turns of at most 40 tokens of a program with {budget:d} tokens come at once"
    " at two gateways"
)
def concurrent_turns(context: Context, count: int, budget: int) -> None:
    barrier = threading.Barrier(count)

    def run(number: int):
        barrier.wait()
        return turn(context, "talk", "crowd", budget, number % 2)

    with ThreadPoolExecutor(count) as pool:
        context.answers = list(pool.map(run, range(count)))


@then("at most {budget:d} tokens were given out")
def tokens_bounded(context: Context, budget: int) -> None:
    events = sum(answer.body.count(b"data:") for answer in context.answers)
    assert 0 < events * 10 <= budget, events
    assert {answer.status for answer in context.answers} <= {200, 402, 503}


@then("every turn that got 402 reached no server")
def refused_reached_none(context: Context) -> None:
    refused = {answer.headers["X-Attempt-Id"] for answer in context.answers if answer.status == 402}
    assert refused
    assert not refused & {arrival.attempt_id for arrival in arrivals(context, "talk")}


@when("a program with {budget:d} tokens has spent 80 of them")
def spend(context: Context, budget: int) -> None:
    for _ in range(2):
        assert turn(context, "talk", "spender", budget).status == 200
        time.sleep(0.3)


@when("every machine is killed and started again")
def restart_all(context: Context) -> None:
    names = list(world(context).processes)
    for name in names:
        world(context).kill(name)
    for name in names:
        world(context).start_machine(name, name.startswith("edge"))
    world(context).wait_ready()


@then("its next turn of at most 40 tokens gets 402")
def next_refused(context: Context) -> None:
    wait_until(
        lambda: turn(context, "talk", "spender", 100, 1).status != 503, "the record store answers"
    )
    assert turn(context, "talk", "spender", 100, 1).status == 402


def converse(context: Context, gateway: int) -> None:
    """Run the next turn of the conversation."""
    text = f"input {len(context.turns)};"
    headers = {"X_Previous_Turn": context.turns[-1]} if context.turns else {}

    def run() -> bool:
        context.answers = [turn(context, "chat", "talker", 10_000, gateway, text=text, **headers)]
        return context.answers[0].status != 503

    wait_until(run, "the record store answers")
    (answer,) = context.answers
    assert answer.status == 200 and answer.is_whole, answer
    context.turns.append(answer.headers["X-Attempt-Id"])
    context.expected += text.encode()
    assert arrivals(context, "chat")[-1].body == context.expected
    context.expected += context.chat_output


@when("a conversation has two turns at gateway 0")
def two_turns(context: Context) -> None:
    context.turns, context.expected = [], b""
    converse(context, 0)
    converse(context, 0)


@when("its third turn comes at gateway 1")
def third_turn(context: Context) -> None:
    converse(context, 1)


@then("the server got all earlier inputs and outputs and the new input")
def got_chain(context: Context) -> None:
    output = context.chat_output
    expected = b"input 0;" + output + b"input 1;" + output + b"input 2;"
    assert arrivals(context, "chat")[-1].body == expected


@when("a turn continues a turn that does not exist")
def unknown_turn(context: Context) -> None:
    context.answers = [turn(context, "chat", "stranger", 10_000, X_Previous_Turn="never-was")]
