"""Steps about streams that complete only once their turns are stored."""

import signal
import time
from dataclasses import replace

from behave import then, when
from behave.runner import Context

from features.support.platform_scripts import world
from features.support.platform_world import HOST, Answer, read_rest
from features.support.processes import wait_until

ANSWERED = 200
REFUSED = 503
EXHAUSTED = 402
#: Number of events in a stream, and tokens of each.
EVENTS = 4
EVENT_TOKENS = 10
BUDGET = 10_000
#: Bytes of the first event that are read before anything fails.
_BEGINNING = 8


def storage_machines(context: Context) -> list[str]:
    """Return the names of the running storage machines."""
    return [
        name
        for name, process in sorted(world(context).processes.items())
        if name.startswith("storage") and process.poll() is None
    ]


def turn_headers(program: str, previous: str = "", budget: int = BUDGET) -> dict[str, str]:
    """Return the headers of a program's turn."""
    headers = {
        "X_Program_Id": program,
        "X_Session_Id": program,
        "X_Token_Budget": str(budget),
        "X_Token_Count": "100,40",
    }
    return headers | ({"X_Previous_Turn": previous} if previous else {})


@when('a turn of "{route}" with {time_ms:d} ms is under way at gateway {gateway:d}')
def begin_turn(context: Context, route: str, time_ms: int, gateway: int) -> None:
    begin_turn_of(context, route, time_ms, BUDGET, gateway)


@when("its caller waits for {caller_ms:d} ms")
def caller_waits(context: Context, caller_ms: int) -> None:
    context.caller_ms = caller_ms


@when(
    'a turn of "{route}" with {time_ms:d} ms and {budget:d} tokens is under way at gateway'
    " {gateway:d}"
)
def begin_turn_of(context: Context, route: str, time_ms: int, budget: int, gateway: int) -> None:
    context.budget = budget
    context.relayed_tokens = 0
    for known in world(context).routes:
        known["timeout_ms"] = max(known["timeout_ms"], time_ms)
    version = world(context).publish()
    wait_until(lambda: in_force(context, gateway) >= version, "the route has its timeout")
    turns_are_answered(context, route, gateway)
    context.route = route
    context.connection = world(context).connect(gateway)
    own_headers = turn_headers("under-way", budget=budget)
    headers = {
        "Host": HOST,
        "X-Attempt-Id": world(context).next_attempt(),
        "X-Deadline-Ms": str(context.caller_ms if "caller_ms" in context else time_ms),
        **{name.replace("_", "-"): value for name, value in own_headers.items()},
    }
    context.turn = headers["X-Attempt-Id"]
    context.begun_at = time.monotonic()
    context.connection.request("POST", f"/{route}/x?q=1", b"question", headers)
    context.response = context.connection.getresponse()
    context.beginning = context.response.read(_BEGINNING)
    assert context.response.status == ANSWERED


@when('turns of "{route}" are answered at gateway {gateway:d}')
def turns_are_answered(context: Context, route: str, gateway: int) -> None:
    # The first operation opens the connections to the replicas.
    wait_until(
        lambda: is_answered(context, route, gateway, "before"), "the record store stores turns"
    )


def in_force(context: Context, gateway: int) -> int:
    """Return the version of the configuration at a gateway."""
    lines = world(context).log(f"edge-{gateway}")
    return max(line["version"] for line in lines if line["kind"] == "ConfigurationInForce")


def is_answered(context: Context, route: str, gateway: int, program: str) -> bool:
    answer = world(context).ask(route, b"question", gateway, **turn_headers(program))
    return answer.status == ANSWERED and answer.is_whole


@when('the timeout of "{route}" is raised to {time_ms:d} ms at gateway {gateway:d}')
def raise_timeout(context: Context, route: str, time_ms: int, gateway: int) -> None:
    (found,) = [one for one in world(context).routes if one["name"] == route]
    found["timeout_ms"] = time_ms
    version = world(context).publish()
    wait_until(lambda: in_force(context, gateway) >= version, "the route has its timeout")


@when("the storage machines are paused")
def pause_storage(context: Context) -> None:
    context.paused_at = time.monotonic()
    context.paused = storage_machines(context)
    for name in context.paused:
        world(context).kill(name, signal.SIGSTOP)


@when('another turn of "{route}" at gateway {gateway:d} is refused')
def another_is_refused(context: Context, route: str, gateway: int) -> None:
    answer = world(context).ask(route, b"question", gateway, **turn_headers("another"))
    assert answer.status == REFUSED, answer


@when("the storage machines resume {seconds:f} s after they were paused")
def resume_storage(context: Context, seconds: float) -> None:
    time.sleep(max(0.0, context.paused_at + seconds - time.monotonic()))
    for name in context.paused:
        world(context).kill(name, signal.SIGCONT)


@when("storage machine {number:d} is killed")
def kill_storage(context: Context, number: int) -> None:
    world(context).kill(f"storage-{number}")


@when("storage machines {one:d} and {other:d} restart {seconds:f} s later")
def start_storage(context: Context, one: int, other: int, seconds: float) -> None:
    time.sleep(seconds)
    for number in (one, other):
        world(context).start_machine(f"storage-{number}", is_gateway=False)


def rest_of_stream(context: Context) -> Answer:
    """Read the running stream to its end and return it."""
    answer = read_rest(context.response, context.begun_at)
    context.connection.close()
    answer = replace(answer, body=context.beginning + answer.body)
    note_relayed(context, answer)
    return answer


def note_relayed(context: Context, answer: Answer) -> None:
    """Count the tokens that the program got."""
    context.relayed_tokens += answer.body.count(b"data:") * EVENT_TOKENS


@when("zone 0 is no longer cut off {seconds:f} s later")
def heal_later(context: Context, seconds: float) -> None:
    time.sleep(seconds)
    world(context).set_cut(is_cut=False)


@then("the stream completes")
def completes(context: Context) -> None:
    answer = rest_of_stream(context)
    assert answer.is_whole, answer
    assert answer.body.count(b"data:") == EVENTS, answer


@then("the stream is aborted within {least:f} to {most:f} s")
def is_aborted(context: Context, least: float, most: float) -> None:
    answer = rest_of_stream(context)
    assert not answer.is_whole, answer
    assert answer.body.count(b"data:") == EVENTS, answer
    assert least <= answer.seconds <= most, answer


@then("a turn continues from it at gateway {gateway:d}")
def continues_from(context: Context, gateway: int) -> None:
    headers = turn_headers("under-way", context.turn, context.budget)

    def has_continued() -> bool:
        answer = world(context).ask(context.route, b"more", gateway, **headers)
        note_relayed(context, answer)
        assert answer.status in (ANSWERED, REFUSED), answer
        return answer.status == ANSWERED and answer.is_whole

    wait_until(has_continued, "the next turn continues")


@then("the program's turns get no more than its budget until they are refused")
def spends_all(context: Context) -> None:
    headers = turn_headers("under-way", context.turn, context.budget)

    def is_spent() -> bool:
        answer = world(context).ask(context.route, b"more", 1, **headers)
        note_relayed(context, answer)
        assert context.relayed_tokens <= context.budget, context.relayed_tokens
        return answer.status == EXHAUSTED

    wait_until(is_spent, "the budget is spent")
    most_tokens = EVENTS * EVENT_TOKENS
    assert context.relayed_tokens > context.budget - most_tokens, context.relayed_tokens


@then("gateway {gateway:d} has logged that the turn was stored late")
def logged_late(context: Context, gateway: int) -> None:
    lines = world(context).log(f"edge-{gateway}")
    found = [line for line in lines if line["kind"] == "TurnKeptLate"]
    found = [line for line in found if line["attempt"] == context.turn]
    assert len(found) == 1 and found[0]["tries"] > 1 and found[0]["seconds"] > 0.25, lines


@then("gateway {gateway:d} has logged which group did not store the turn")
def logged_group(context: Context, gateway: int) -> None:
    lines = world(context).log(f"edge-{gateway}")
    cut = [line for line in lines if line["kind"] == "AnswerBrokenOff"]
    assert [line["attempt"] for line in cut] == [context.turn], cut
    assert "group 0" in cut[0]["reason"] and "answered" in cut[0]["reason"], cut
