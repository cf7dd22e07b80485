"""Steps about tenants' limits as seen by callers and servers."""

import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from behave import given, then, when
from behave.runner import Context

from features.steps.tenant_steps import answered, ask_turn
from features.support.platform_scripts import add, arrivals, publish, world
from features.support.platform_world import Answer, Arrival, stream
from features.support.processes import wait_until

WINDOW_S = 5.0
#: Number of concurrent clients.
CLIENTS = 8
MAX_PROGRAMS = 30
#: Token budget of a program with several turns.
BUDGET = 400


def set_limit(context: Context, name: str, rate_per_s: int, burst: int) -> None:
    for one in world(context).tenants:
        if one["name"] == name:
            one |= {"rate_per_s": rate_per_s, "burst": burst}
    publish(context)


@given('the tenant "{name}" has a limit of {rate_per_s:d} a second and a burst of {burst:d}')
def has_limit(context: Context, name: str, rate_per_s: int, burst: int) -> None:
    wait_until(lambda: know_group(context), "the replicas know their group")
    set_limit(context, name, rate_per_s, burst)
    context.ran = []


def know_group(context: Context) -> bool:
    """Return whether all gateways have logged the group of replicas."""
    return all(
        any(line["kind"] == "GroupChanged" for line in world(context).log(name))
        for name in world(context).processes
        if name.startswith("edge")
    )


@when('the tenant "{name}" gets a limit of {rate_per_s:d} a second and a burst of {burst:d}')
def gets_limit(context: Context, name: str, rate_per_s: int, burst: int) -> None:
    set_limit(context, name, rate_per_s, burst)


@when("{seconds:d} s pass")
def pass_time(context: Context, seconds: int) -> None:
    time.sleep(seconds)


def ask_at(context: Context, key: str, route: str, gateway: int) -> Answer:
    answer = world(context).ask(route, b"payload", gateway, X_Key=key)
    if answer.status == 200:
        context.ran.append(time.monotonic())
    return answer


def send(context: Context, count: int, key: str, route: str) -> None:
    with ThreadPoolExecutor(CLIENTS) as pool:
        context.answers = list(
            pool.map(lambda number: ask_at(context, key, route, number % 2), range(count))
        )


@when('{count:d} requests with key "{key}" come at two gateways at once')
def send_at_two(context: Context, count: int, key: str) -> None:
    send(context, count, key, "records")


@when('{count:d} requests with key "{key}" come on "{route}"')
def send_on(context: Context, count: int, key: str, route: str) -> None:
    send(context, count, key, route)


@then("at least {least:d} and at most {most:d} of them ran")
def ran_between(context: Context, least: int, most: int) -> None:
    ran = len(arrivals(context, "records"))
    assert least <= ran <= most, ran


@then("at most {most:d} of them ran")
def ran_at_most(context: Context, most: int) -> None:
    ran = [answer for answer in context.answers if answer.status == 200]
    assert len(ran) <= most, len(ran)


@then("all others got 429 with Retry-After and reached no server")
def others_refused(context: Context) -> None:
    reached = {arrival.attempt_id for arrival in arrivals(context, "records")}
    for answer in context.answers:
        if answer.headers["X-Attempt-Id"] in reached:
            assert answer.status == 200, answer
            continue
        assert answer.status == 429, answer
        assert float(answer.headers["Retry-After"]) > 0.0


@when('the replica "{name}" is killed')
def kill_replica(context: Context, name: str) -> None:
    world(context).kill(name)


@then("in no 5 s more than {most:d} ran")
def window_holds(context: Context, most: int) -> None:
    for first in context.ran:
        ran = [at for at in context.ran if first <= at < first + WINDOW_S]
        assert len(ran) <= most, len(ran)


# Programs


@given('a stream route "{route}" of which a turn takes {seconds:d} s')
def slow_stream(context: Context, route: str, seconds: int) -> None:
    def script(call: Any, arrival: Arrival) -> bool:
        return stream(call, arrival, range(4), pause=seconds / 4)

    add(context, route, "streaming", script)


@when('programs of "alloy" begin on "{route}" until one is refused')
def begin_programs(context: Context, route: str) -> None:
    with ThreadPoolExecutor(MAX_PROGRAMS) as pool:
        running = []
        for number in range(MAX_PROGRAMS):
            running.append(pool.submit(ask_turn, context, "key-a", route, f"p-{number}", BUDGET))
            time.sleep(0.05)
        context.begun = [one.result() for one in running]


@then("it was refused at once with 429 and a Retry-After")
def refused_at_once(context: Context) -> None:
    refused = [answer for answer in context.begun if answer.status == 429]
    assert refused and context.begun[0].status == 200, [one.status for one in context.begun]
    for answer in refused:
        assert answer.seconds < 0.5, answer
        assert float(answer.headers["Retry-After"]) > 0.0


@then("a second turn of the first program gets {status:d}")
def second_turn(context: Context, status: int) -> None:
    assert ask_turn(context, "key-a", "talk", "p-0", BUDGET).status == status


@when("{count:d} more turns of it are refused for its budget")
def refused_for_budget(context: Context, count: int) -> None:
    assert answered(context, "key-a", "chat", "same") == 402
    for _ in range(count - 1):
        assert ask_turn(context, "key-a", "chat", "same").status == 402


# Slow and stopped replicas


@when("every replica is stopped for {pause_ms:d} ms again and again for {seconds:d} s")
def replicas_slow(context: Context, pause_ms: int, seconds: int) -> None:
    replicas = [name for name in world(context).processes if name.startswith("storage")]
    end = time.monotonic() + seconds
    is_over = threading.Event()

    def pause() -> None:
        while time.monotonic() < end:
            for name in replicas:
                world(context).kill(name, signal.SIGSTOP)
            time.sleep(pause_ms / 1000.0)
            for name in replicas:
                world(context).kill(name, signal.SIGCONT)
            time.sleep(0.05)
        is_over.set()

    threading.Thread(target=pause).start()
    context.answers = []
    while not is_over.is_set():
        context.answers.append(ask_at(context, "key-a", "records", 0))
        time.sleep(0.02)


@then('all requests with key "{key}" that came meanwhile got 200')
def all_served(context: Context, key: str) -> None:
    statuses = [answer.status for answer in context.answers]
    assert len(statuses) >= 10 and set(statuses) == {200}, statuses


@when('all replicas are killed and {count:d} requests with key "{key}" have come')
def all_replicas_killed(context: Context, count: int, key: str) -> None:
    for name in list(world(context).processes):
        if name.startswith("storage"):
            world(context).kill(name)
    for _ in range(count):
        ask_at(context, key, "records", 0)


@then('the next {count:d} requests with key "{key}" get 503, each within {limit_ms:d} ms')
def refused_soon(context: Context, count: int, key: str, limit_ms: int) -> None:
    for _ in range(count):
        answer = ask_at(context, key, "records", 0)
        assert answer.status == 503, answer
        assert answer.seconds < limit_ms / 1000.0, answer
