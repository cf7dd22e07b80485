"""Steps about machines on the platform."""

import gzip
import http.client
import json
import os
import shutil
import signal
import socket
import struct
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from behave.runner import Context
from click.testing import CliRunner

from features.support.platform_world import (
    Arrival,
    PlatformWorld,
    QuietHandler,
    Server,
    event,
    own_headers,
    read_answer,
    stream,
)
from features.support.processes import wait_until
from yarrowwall.cli.explain import explain

RESET = struct.pack("ii", 1, 0)


def world(context: Context) -> PlatformWorld:
    return context.platform


def publish(context: Context) -> None:
    """Publish the configuration and wait until every gateway has it and knows all servers."""
    version = world(context).publish()
    servers = set(world(context).servers)
    for name in world(context).processes:
        if name.startswith("edge"):
            wait_until(lambda name=name: knows(context, name, version, servers), f"{name} knows")


def knows(context: Context, name: str, version: int, servers: set[str]) -> bool:
    lines = world(context).log(name)
    versions = [line["version"] for line in lines if line["kind"] == "ConfigurationInForce"]
    listed = {line["server"] for line in lines if line["kind"] == "ServerChanged"}
    return bool(versions) and versions[-1] >= version and servers <= listed


# Servers that misbehave


def full(call: QuietHandler, arrival: Arrival) -> bool:
    call.answer(503, b"", {"X-Not-Executed": "1", "X-Attempt-Id": arrival.attempt_id})
    return True


def silent(call: QuietHandler, arrival: Arrival) -> bool:
    call.close_connection = True
    return True


def cut_short(call: QuietHandler, arrival: Arrival) -> bool:
    call.send_response(200)
    for name, value in {**own_headers(arrival), "Content-Length": "100"}.items():
        call.send_header(name, value)
    call.end_headers()
    call.wfile.write(b"only this")
    return silent(call, arrival)


def no_http(call: QuietHandler, arrival: Arrival) -> bool:
    call.wfile.write(b"\x16\x03\x01 this is no answer\r\n\r\n")
    return silent(call, arrival)


def no_seal(call: QuietHandler, arrival: Arrival) -> bool:
    call.answer(200, b"record", {"X-Attempt-Id": arrival.attempt_id})
    return True


def unframed_and_reset(call: QuietHandler, arrival: Arrival) -> bool:
    call.send_response(200)
    for name, value in own_headers(arrival).items():
        call.send_header(name, value)
    call.end_headers()
    call.wfile.write(b"a part")
    call.wfile.flush()
    time.sleep(0.1)
    call.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    call.connection.close()
    return silent(call, arrival)


def twice(call: QuietHandler, arrival: Arrival) -> bool:
    body = arrival.attempt_id.encode()
    call.answer(200, body, own_headers(arrival))
    call.answer(200, body, own_headers(arrival))
    return True


FAULTS = {
    "is cut short": cut_short,
    "is no HTTP": no_http,
    "has no seal": no_seal,
    "is unframed and reset": unframed_and_reset,
}


def arrivals(context: Context, route: str) -> list[Arrival]:
    return [arrival for server in context.by_route[route] for arrival in server.arrivals]


def add(context: Context, route: str, kind: str, *scripts, **fields) -> list[Server]:
    world(context).add_route(route, kind, **fields)
    servers = [world(context).add_server(route, script) for script in scripts]
    context.by_route[route] = servers
    publish(context)
    return servers


@given('a route "{route}" of type "{kind}" with a server')
def route_with_server(context: Context, route: str, kind: str) -> None:
    add(context, route, kind, None)


@given('a route "{route}" of type "{kind}" with two servers')
def route_with_two(context: Context, route: str, kind: str) -> None:
    add(context, route, kind, None, None)


@given('a route "{route}" of type "{kind}" with a full server and a sound one')
def route_with_full_and_sound(context: Context, route: str, kind: str) -> None:
    add(context, route, kind, full, None)


@given('a route "{route}" of type "{kind}" with a full server')
def route_with_full(context: Context, route: str, kind: str) -> None:
    add(context, route, kind, full)


@given('a route "{route}" of type "{kind}" with a server that closes without an answer')
def route_with_silent(context: Context, route: str, kind: str) -> None:
    add(context, route, kind, silent)


@given(
    'a route "{route}" of type "{kind}" with a server that closes without an answer and a sound one'
)
def route_with_silent_and_sound(context: Context, route: str, kind: str) -> None:
    add(context, route, kind, silent, None)


@given('a route "{route}" of type "{kind}" with a server whose answer {fault}')
def route_with_fault(context: Context, route: str, kind: str, fault: str) -> None:
    add(context, route, kind, FAULTS[fault])


@given('a route "{route}" of type "{kind}" with a server that answers everything twice')
def route_with_doubles(context: Context, route: str, kind: str) -> None:
    add(context, route, kind, twice)


@given(
    'a route "{route}" of type "{kind}" with a time of {limit:d} ms'
    " and a server that takes {seconds:d} s"
)
def slow_route(context: Context, route: str, kind: str, limit: int, seconds: int) -> None:
    context.closed_at = []

    def slow(call: QuietHandler, arrival: Arrival) -> bool:
        end = time.monotonic() + seconds
        call.connection.settimeout(0.05)
        while time.monotonic() < end:
            try:
                if not call.connection.recv(1, socket.MSG_PEEK):
                    context.closed_at.append(time.monotonic())
                    return silent(call, arrival)
            except TimeoutError:
                continue
            except OSError:
                context.closed_at.append(time.monotonic())
                return silent(call, arrival)
        call.connection.settimeout(None)
        return False

    add(context, route, kind, slow, timeout_ms=limit)


# Clients


@when('a client sends "{text}" on "{route}"')
def send_one(context: Context, text: str, route: str) -> None:
    context.answers = [world(context).ask(route, text.encode())]


@when('{count:d} clients send "{text}" on "{route}"')
def send_many(context: Context, count: int, text: str, route: str) -> None:
    connection = world(context).connect()
    context.answers = []
    for _ in range(count):
        context.answers.append(world(context).ask(route, text.encode(), connection=connection))
    connection.close()


@when('{count:d} clients send nothing on "{route}"')
def send_gets(context: Context, count: int, route: str) -> None:
    context.answers = [world(context).ask(route) for _ in range(count)]


@when('a client sends "{text}" on "{route}" and leaves after {pause:d} ms')
def send_and_leave(context: Context, text: str, route: str, pause: int) -> None:
    connection = world(context).connect()
    headers = {"Host": "desk.example", "X-Attempt-Id": "leaver", "X-Deadline-Ms": "3000"}
    connection.request("POST", f"/{route}/x", text.encode(), headers)
    time.sleep(pause / 1000.0)
    context.left_at = time.monotonic()
    connection.close()


@then("the server sees the connection closed within {limit:d} ms")
def closed_soon(context: Context, limit: int) -> None:
    wait_until(lambda: bool(context.closed_at), "the server sees the end")
    assert context.closed_at[0] - context.left_at < limit / 1000.0


@then("the answer is {status:d} with the server's seal")
def answer_sealed(context: Context, status: int) -> None:
    (answer,) = context.answers
    assert answer.status == status, answer
    assert "X-Server-Seal" in answer.headers, answer


@then("the answer is {status:d} with no seal")
def answer_unsealed(context: Context, status: int) -> None:
    (answer,) = context.answers
    assert answer.status == status, answer
    assert "X-Server-Seal" not in answer.headers, answer


@then("the answer is {status:d} with Retry-After")
def answer_retry(context: Context, status: int) -> None:
    (answer,) = context.answers
    assert answer.status == status, answer
    assert float(answer.headers["Retry-After"]) > 0.0


@then("the answer is {status:d} without Retry-After")
def answer_final(context: Context, status: int) -> None:
    (answer,) = context.answers
    assert answer.status == status, answer
    assert "Retry-After" not in answer.headers, answer


@then("it came within {limit:d} ms")
def came_within(context: Context, limit: int) -> None:
    assert context.answers[0].seconds < limit / 1000.0, context.answers[0]


@then("the answer is no success")
def no_success(context: Context) -> None:
    (answer,) = context.answers
    assert answer.status >= 500 or not answer.is_whole, answer


@then("every answer is 200")
def every_success(context: Context) -> None:
    assert [answer.status for answer in context.answers] == [200] * len(context.answers)


@then("every answer belongs to its request")
def every_own(context: Context) -> None:
    for answer in context.answers:
        assert answer.body.decode() == answer.headers["X-Attempt-Id"], answer
    assert len({answer.body for answer in context.answers}) == len(context.answers)


@then("every request ran once")
def ran_once(context: Context) -> None:
    sound = context.by_route["records"][1]
    ids = [arrival.attempt_id for arrival in sound.arrivals]
    assert len(ids) == len(set(ids)) == len(context.answers), ids


@then('the servers of "{route}" got it once')
def got_once(context: Context, route: str) -> None:
    assert len(arrivals(context, route)) == 1


@then('the server got "{target}" with "{text}" once, with the client\'s attempt id')
def got_unchanged(context: Context, target: str, text: str) -> None:
    (arrival,) = arrivals(context, "records")
    assert arrival.path == target
    assert arrival.body == text.encode()
    assert arrival.attempt_id == context.answers[0].headers["X-Attempt-Id"]


@then("the server was told at most {limit:d} ms")
def told_deadline(context: Context, limit: int) -> None:
    (arrival,) = arrivals(context, "records")
    assert 0 < int(arrival.headers["X-Deadline-Ms"]) <= limit


# Streams


@given('a stream route "{route}" whose server pauses {pause:d} ms between events')
def pausing_stream(context: Context, route: str, pause: int) -> None:
    context.made_at = []

    def script(call: QuietHandler, arrival: Arrival) -> bool:
        stream(call, arrival, range(1, 5), pause / 1000.0)
        context.made_at.append(time.monotonic())
        return True

    add(context, route, "streaming", script)


@given('a resumable stream route "{route}" whose first server breaks off within an event')
def resumable_stream(context: Context, route: str) -> None:
    def script(call: QuietHandler, arrival: Arrival) -> bool:
        first = int(arrival.headers.get("Last-Event-Id", "0")) + 1
        if first == 1:
            return stream(call, arrival, range(1, 4), is_whole=False)
        return stream(call, arrival, range(first, 7))

    add(context, route, "streaming", script, script, resumable=True)


@given('a stream route "{route}" whose server breaks off within an event')
def breaking_stream(context: Context, route: str) -> None:
    add(
        context,
        route,
        "streaming",
        lambda call, arrival: stream(call, arrival, range(1, 4), is_whole=False),
    )


@given('a stream route "{route}" whose server sends {count:d} events')
def plain_stream(context: Context, route: str, count: int) -> None:
    add(
        context,
        route,
        "streaming",
        lambda call, arrival: stream(call, arrival, range(1, count + 1)),
    )


@given('a stateful stream route "{route}" whose server sends {count:d} events')
def stateful_stream(context: Context, route: str, count: int) -> None:
    context.chat_output = b"".join(b"piece-%d\n" % number for number in range(1, count + 1))
    add(
        context,
        route,
        "streaming",
        lambda call, arrival: stream(call, arrival, range(1, count + 1)),
        stateful=True,
    )


@when('a client follows "{route}"')
def follow(context: Context, route: str) -> None:
    connection = world(context).connect()
    headers = {"Host": "desk.example", "X-Attempt-Id": "follower", "X-Deadline-Ms": "3000"}
    started = time.monotonic()
    connection.request("POST", f"/{route}/x", b"question", headers)
    response = connection.getresponse()
    context.first_at = time.monotonic()
    response.read1(1)
    context.answers = [read_rest(response, started)]
    connection.close()


def read_rest(response, started: float):
    class _Connection:
        @staticmethod
        def getresponse():
            return response

    answer = read_answer(_Connection(), started)
    answer.body = b"i" + answer.body
    return answer


@then("{count:d} events came whole and in order, the first before the last was made")
def events_as_made(context: Context, count: int) -> None:
    events_whole(context, count)
    assert context.first_at < context.made_at[0] - 0.3


@then("{count:d} events came whole and in order")
def events_whole(context: Context, count: int) -> None:
    (answer,) = context.answers
    assert answer.is_whole, answer
    assert answer.body == b"".join(event(number) for number in range(1, count + 1))


@then("the stream is not whole and holds only whole events")
def stream_broken(context: Context) -> None:
    (answer,) = context.answers
    assert not answer.is_whole, answer
    assert answer.body == b"".join(event(number) for number in range(1, 4))


# Configuration and servers


@when('the route "{route}" is added with a server')
def add_route(context: Context, route: str) -> None:
    context.older = world(context).store.get("config", "main")["spec"]
    world(context).add_route(route, "mutating")
    context.by_route[route] = [world(context).add_server(route)]
    world(context).publish()


@then('"{route}" answers 200 within {limit:d} s at every gateway')
def route_answers(context: Context, route: str, limit: int) -> None:
    end = time.monotonic() + limit
    for gateway in (0, 1):
        while world(context).ask(route, b"x", gateway).status != 200:
            assert time.monotonic() < end, f"gateway {gateway}"
            time.sleep(0.05)


@when("the store forgets its history and shows the older configuration")
def show_older(context: Context) -> None:
    world(context).store.forget_history()
    world(context).store.put("config", "main", context.older)
    time.sleep(1.0)


@then('"{route}" still answers 200 at every gateway')
def route_stays(context: Context, route: str) -> None:
    for gateway in (0, 1):
        assert world(context).ask(route, b"x", gateway).status == 200


@when("the store goes down")
def store_down(context: Context) -> None:
    world(context).store.is_down = True
    world(context).store.forget_history()


@when('the first server of "{route}" drains')
def drain_first(context: Context, route: str) -> None:
    server = context.by_route[route][0]
    world(context).drain(server, route)

    def is_told(name: str) -> bool:
        return any(
            line["kind"] == "ServerChanged" and line["change"] == "draining"
            for line in world(context).log(name)
        )

    wait_until(lambda: is_told("edge-0") and is_told("edge-1"), "the gateways know")


@then('the first server of "{route}" got none of them')
def first_got_none(context: Context, route: str) -> None:
    assert not context.by_route[route][0].arrivals


# Stop


@when('gateway {number:d} gets SIGTERM while a client waits on "{route}"')
def stop_while_waiting(context: Context, number: int, route: str) -> None:
    with ThreadPoolExecutor(1) as pool:
        waiting = pool.submit(world(context).ask, route, b"x", number)
        wait_until(lambda: bool(arrivals(context, route)), "the request runs")
        context.stopped = world(context).kill(f"edge-{number}", signal.SIGTERM)
        wait_until(lambda: not world(context).is_ready(f"edge-{number}"), "it is not ready")
        context.answers = [waiting.result()]


@then("the answer is 200 and closes its connection")
def answer_closes(context: Context) -> None:
    (answer,) = context.answers
    assert answer.status == 200, answer
    assert answer.headers.get("Connection") == "close", answer


@then("gateway {number:d} is not ready, and ends by itself with code 0")
def ends_by_itself(context: Context, number: int) -> None:
    assert not world(context).is_ready(f"edge-{number}")
    assert context.stopped.wait(timeout=10.0) == 0


# Programs


def turn(context: Context, route: str, program: str, budget: int, gateway: int = 0, **headers):
    return world(context).ask(
        route,
        headers.pop("text", "question").encode(),
        gateway,
        X_Program_Id=program,
        X_Session_Id=program,
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
    wait_until(lambda: turn(context, "talk", "spender", 100, 1).status != 503, "the store can tell")
    assert turn(context, "talk", "spender", 100, 1).status == 402


def converse(context: Context, gateway: int) -> None:
    """Run the next turn of the conversation."""
    text = f"input {len(context.turns)};"
    headers = {"X_Previous_Turn": context.turns[-1]} if context.turns else {}

    def run() -> bool:
        context.answers = [turn(context, "chat", "talker", 10_000, gateway, text=text, **headers)]
        return context.answers[0].status != 503

    wait_until(run, "the store can tell")
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


@when("a turn goes on from one that never was")
def unknown_turn(context: Context) -> None:
    context.answers = [turn(context, "chat", "stranger", 10_000, X_Previous_Turn="never-was")]


@when("two replicas are killed")
def kill_two(context: Context) -> None:
    world(context).kill("storage-0")
    world(context).kill("storage-1")


def members(context: Context) -> list[str]:
    found = world(context).store.get("yarrowwall-groups", "all")
    view = found["spec"]["groups"][0]
    return [] if view["joining"] else [member["disk_id"] for member in view["members"]]


@when("replica {number:d} loses its disk and starts again")
def lose_disk(context: Context, number: int) -> None:
    name = f"storage-{number}"
    world(context).kill(name)
    folder = world(context).folder / name
    context.old_disk = (folder / "replica-id").read_text().strip()
    shutil.rmtree(folder)
    world(context).start_machine(name, is_gateway=False)
    context.own_folder = folder


@then("the group has its new disk within {limit:d} s")
def has_new_disk(context: Context, limit: int) -> None:
    started = time.monotonic()

    def is_in() -> bool:
        path = context.own_folder / "replica-id"
        return path.exists() and path.read_text().strip() in members(context)

    wait_until(is_in, "the new disk is a member")
    assert time.monotonic() - started < limit
    assert context.old_disk not in members(context)


@when("replica {number:d} is killed")
def kill_replica(context: Context, number: int) -> None:
    world(context).kill(f"storage-{number}")


@when("replica {number:d} is killed for good")
def kill_replica_for_good(context: Context, number: int) -> None:
    world(context).kill(f"storage-{number}")


@given("a further replica")
def further_replica(context: Context) -> None:
    world(context).start_machine("storage-3", is_gateway=False)
    wait_until(
        lambda: world(context).store.get("yarrowwall-replicas", "storage-3") is not None,
        "it is registered",
    )


@when("storage machine {number:d} is to be emptied")
def retire(context: Context, number: int) -> None:
    context.retired = f"storage-{number}"
    world(context).store.put("retirements", context.retired, {"period_s": 10})


@then("its retirement is complete within {limit:d} s and it is in no group")
def retirement_complete(context: Context, limit: int) -> None:
    started = time.monotonic()

    def is_complete() -> bool:
        item = world(context).store.get("retirements", context.retired)
        return (item["status"] or {}).get("state") == "complete"

    wait_until(is_complete, "the retirement is complete")
    assert time.monotonic() - started < limit
    view = world(context).store.get("yarrowwall-groups", "all")["spec"]["groups"][0]
    named = [member["node_id"] for member in [*view["members"], *view["joining"]]]
    assert context.retired not in named


# Logs and metrics


@then("explain tells of the program: admitted, granted, sent, answered, settled")
def explained(context: Context) -> None:
    logs = sorted(world(context).folder.glob("*.log"))
    zipped = logs[0].with_suffix(".log.gz")
    zipped.write_bytes(gzip.compress(logs[0].read_bytes() + b"\n{broken\nno line\n"))
    found = CliRunner().invoke(
        explain, ["spender", str(zipped), *map(str, logs[1:]), "--output", "json"]
    )
    assert found.exit_code == 0, found.output
    kinds = [json.loads(line)["kind"] for line in found.output.splitlines()]
    expected = [
        "AttemptAdmitted",
        "BudgetDecided",
        "AttemptSent",
        "AttemptAnswered",
        "BudgetSettled",
    ]
    assert [kind for kind in kinds[: len(expected)] if kind in expected] == expected, kinds


@then("explain of an unknown id ends with exit code 1")
def unexplained(context: Context) -> None:
    logs = sorted(world(context).folder.glob("*.log"))
    assert CliRunner().invoke(explain, ["nobody", str(logs[0])]).exit_code == 1


@then("the metrics of gateway 0 count 2 answers and 2 grants")
def metrics_count(context: Context) -> None:
    host, _, port = world(context).addresses["edge-0"]["metrics"].partition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=5.0)
    connection.request("GET", "/metrics")
    text = connection.getresponse().read().decode()
    connection.close()
    assert 'yarrowwall_answers_total{status="200"} 2.0' in text, text
    assert 'yarrowwall_budget_decisions_total{granted="True"} 2.0' in text, text


@when("the log pipe of a gateway is full")
def fill_log_pipe(context: Context) -> None:
    reader, writer = os.pipe()
    context.add_cleanup(os.close, reader)
    world(context).kill("edge-0")
    os.set_blocking(writer, False)
    try:
        while True:
            os.write(writer, b"x" * 4096)
    except BlockingIOError:
        os.set_blocking(writer, True)
    world(context).start_machine("edge-0", is_gateway=True, output=writer)
    os.close(writer)
    world(context).wait_ready()
    # Being ready tells that the configuration is known; the servers may follow a moment later.
    time.sleep(0.5)


@then("gateway {number:d} is not ready within {limit:d} s")
def not_ready_soon(context: Context, number: int, limit: int) -> None:
    started = time.monotonic()
    wait_until(lambda: not world(context).is_ready(f"edge-{number}"), "it takes itself out")
    assert time.monotonic() - started < limit


@when("the two replicas start again")
def restart_two(context: Context) -> None:
    for name in ("storage-0", "storage-1"):
        world(context).start_machine(name, is_gateway=False)


@then("gateway {number:d} is ready within {limit:d} s")
def ready_soon(context: Context, number: int, limit: int) -> None:
    started = time.monotonic()
    wait_until(lambda: world(context).is_ready(f"edge-{number}"), "it is back")
    assert time.monotonic() - started < limit


@when("the store holds a configuration and a group that cannot be read")
def unreadable_objects(context: Context) -> None:
    world(context).store.put("config", "main", {"version": "none", "routes": 7})
    world(context).store.put("yarrowwall-groups", "broken", {"groups": [{"epoch": 1}]})
    time.sleep(0.5)


@when(
    "gateway {number:d} gets SIGTERM and a request comes {first:f} s later"
    " and another {second:f} s after that"
)
def late_requests(context: Context, number: int, first: float, second: float) -> None:
    world(context).kill(f"edge-{number}", signal.SIGTERM)
    time.sleep(first)
    with ThreadPoolExecutor(1) as pool:
        running = pool.submit(world(context).ask, "slow", b"x", number)
        time.sleep(second)
        late = world(context).ask("slow", b"y", number)
        context.answers = [running.result(), late]


@then("the first is answered 200 and the second 503 with Retry-After at once")
def late_refused(context: Context) -> None:
    first, late = context.answers
    assert first.status == 200 and first.is_whole, first
    assert late.status == 503 and float(late.headers["Retry-After"]) > 0.0, late
    assert late.seconds < 0.5, late
