"""Steps about tenants: API keys, forwarded headers, and isolation between tenants."""

import time
from collections.abc import Sequence
from typing import Any

from behave import given, then, when
from behave.runner import Context

from features.support.platform_scripts import add, arrivals, publish, world
from features.support.platform_world import HOST, Answer, Arrival, read_answer, stream
from features.support.processes import wait_until
from yarrowwall.platform import names

#: Value that a client sends in headers that only the system may set.
FORGED = "forged-by-client"
EVENTS = 4


def tenant(name: str, key: str, **fields: Any) -> dict[str, Any]:
    return {"name": name, "api_keys": [key], "rate_per_s": 0, "burst": 0, **fields}


def ask_as(context: Context, key: str, route: str, text: str = "payload", **headers) -> Answer:
    """Send a request with a key, without one for ``none``, or with two joined by ``and``."""
    keys = [("X-Key", one) for one in key.split(" and ") if one != "none"]
    own = [(name.replace("_", "-"), value) for name, value in headers.items()]
    return send_exactly(context, route, keys + own, text)


def send_exactly(
    context: Context, route: str, headers: Sequence[tuple[str, str]], text: str = "payload"
) -> Answer:
    """Send a request with headers as given, including duplicates and spelling."""
    used = world(context).connect()
    started = time.monotonic()
    used.putrequest("POST", f"/{route}/x?q=1", skip_host=True)
    used.putheader("Host", HOST)
    used.putheader("X-Attempt-Id", world(context).next_attempt())
    used.putheader("X-Deadline-Ms", "3000")
    for name, value in headers:
        used.putheader(name, value)
    used.putheader("Content-Length", str(len(text)))
    used.endheaders(text.encode())
    answer = read_answer(used, started)
    used.close()
    return answer


def ask_turn(
    context: Context, key: str, route: str, program: str, budget: int = 40, **headers
) -> Answer:
    return ask_as(
        context,
        key,
        route,
        X_Program_Id=program,
        X_Session_Id=program,
        X_Token_Budget=str(budget),
        X_Token_Count="100,40",
        **headers,
    )


def answered(context: Context, key: str, route: str, program: str, **headers) -> int:
    """Return the status of a turn once the record store can decide."""
    found: list[int] = []

    def run() -> bool:
        found.append(ask_turn(context, key, route, program, **headers).status)
        return found[-1] != 503

    wait_until(run, "the store can decide")
    return found[-1]


@given('tenants "{one}" with key "{one_key}" and "{other}" with key "{other_key}"')
def two_tenants(context: Context, one: str, one_key: str, other: str, other_key: str) -> None:
    world(context).tenants = [tenant(one, one_key), tenant(other, other_key)]
    publish(context)


@given('a tenant "{name}" with key "{key}" and priority {priority:d}')
def urgent_tenant(context: Context, name: str, key: str, priority: int) -> None:
    world(context).tenants.append(tenant(name, key, priority=priority))


@given('a public route "{route}" with a server')
def public_route(context: Context, route: str) -> None:
    add(context, route, "mutating", None, public=True)


@given('a stateful stream route "{route}"')
def stateful_route(context: Context, route: str) -> None:
    def script(call, arrival: Arrival) -> bool:
        return stream(call, arrival, range(EVENTS))

    add(context, route, "streaming", script, stateful=True, resumable=True)


@when('a client with key "{key}" sends "{text}" on "{route}"')
def send_as(context: Context, key: str, text: str, route: str) -> None:
    context.answers = [ask_as(context, key, route, text)]


@then('the server received the tenant "{name}" and no key')
def received_tenant(context: Context, name: str) -> None:
    (arrival,) = arrivals(context, "records")
    assert arrival.headers.get("X-Tenant") == name, arrival.headers
    assert not any("key-" in value for value in arrival.headers.values()), arrival.headers


@then("the server received no tenant")
def received_no_tenant(context: Context) -> None:
    (arrival,) = arrivals(context, "notices")
    assert "X-Tenant" not in arrival.headers


@then('the servers of "{route}" got nothing')
def got_nothing(context: Context, route: str) -> None:
    assert not arrivals(context, route)


def spellings(name: str) -> list[dict[str, str]]:
    """Return headers by which a client may try to set a header of the system."""
    return [
        {name: FORGED},
        {name.lower(): FORGED},
        {name.upper(): FORGED},
        {name.replace("-", "_"): FORGED},
        {name: FORGED, name.lower(): FORGED + "2"},
        {name: FORGED, "Connection": name},
    ]


@when(
    'a client with key "{key}" sends every header that only the system may set, in every spelling'
)
def forge(context: Context, key: str) -> None:
    # A duplicate key counts as no key, and a client's deadline has to be a number.
    forged = [
        name for name in names.STRIPPED_HEADERS if name not in (names.API_KEY, names.DEADLINE)
    ]
    context.answers = []
    for name in forged:
        for headers in spellings(name):
            sent = [("X-Key", key), *headers.items()]
            context.answers.append(send_exactly(context, "records", sent))


@then("no server received a client's value in any of them")
def no_forged(context: Context) -> None:
    found = arrivals(context, "records")
    assert len(found) == len(context.answers)
    for arrival in found:
        assert not any(FORGED in value for value in arrival.headers.values()), arrival.headers
        assert arrival.headers["X-Tenant"] == "alloy"


@when('clients with keys "{one}" and "{other}" each send a prompt on "{route}"')
def send_prompts(context: Context, one: str, other: str, route: str) -> None:
    for key in (one, other):
        ask_as(context, key, route, X_Prompt_Prefix="ab:100", X_Token_Count="100,40")


@then("the server received rank {first:d}, then rank {second:d}")
def received_ranks(context: Context, first: int, second: int) -> None:
    ranks = [int(one.headers["X-Request-Priority"]) for one in arrivals(context, "talk")]
    assert ranks == [first, second], ranks


@when('a client with key "{key}" has a turn on "{route}"')
def has_turn(context: Context, key: str, route: str) -> None:
    def run() -> bool:
        context.turn = ask_as(context, key, route, X_Program_Id="p", X_Token_Count="100,40")
        return context.turn.status != 503

    wait_until(run, "the store can decide")
    assert context.turn.status == 200 and context.turn.is_whole


@then('a client with key "{key}" that continues from it gets {status:d}')
def continues_from(context: Context, key: str, status: int) -> None:
    previous = context.turn.headers["X-Attempt-Id"]
    assert answered(context, key, "chat", "next", X_Previous_Turn=previous) == status


@when('a client with key "{key}" spends the whole budget of the program "{name}" on "{route}"')
def spend_all(context: Context, key: str, name: str, route: str) -> None:
    assert answered(context, key, route, name) == 200


@then('a client with key "{key}" gets {status:d} for the program "{name}" on "{route}"')
def budget_answer(context: Context, key: str, status: int, name: str, route: str) -> None:
    assert answered(context, key, route, name) == status


@when('the operators replace the key "{old}" of "{name}" by "{new}"')
def replace_key(context: Context, old: str, name: str, new: str) -> None:
    for one in world(context).tenants:
        if one["name"] == name:
            one["api_keys"] = [new if key == old else key for key in one["api_keys"]]
    publish(context)


@then('a client with key "{key}" soon gets {status:d} on "{route}"')
def soon_gets(context: Context, key: str, status: int, route: str) -> None:
    wait_until(lambda: ask_as(context, key, route).status == status, f"{key} gets {status}")


FAULTY = {
    "a duplicate key": [tenant("alloy", "key-a"), tenant("ore", "key-a")],
    "a duplicate name": [tenant("alloy", "key-a"), tenant("alloy", "key-o")],
    "a negative rate": [tenant("alloy", "key-a", rate_per_s=-1)],
}


@when("the operators publish tenants with {fault}")
def publish_faulty(context: Context, fault: str) -> None:
    world(context).tenants = FAULTY[fault]
    world(context).publish()


@then('every gateway logs a fault that names "{name}"')
def logged_fault(context: Context, name: str) -> None:
    for machine in ("edge-0", "edge-1"):
        wait_until(
            lambda machine=machine: any(
                name in line.get("reason", "")
                for line in world(context).log(machine)
                if line.get("dependency") == "configuration"
            ),
            f"{machine} logs {name}",
        )


@then('no machine\'s log holds "{text}"')
def no_log_holds(context: Context, text: str) -> None:
    for machine in world(context).processes:
        assert text not in (world(context).folder / f"{machine}.log").read_text()


@then('the gateway logged the tenant "{name}"')
def logged_tenant(context: Context, name: str) -> None:
    assert any(line.get("tenant") == name for line in world(context).log("edge-0"))
