"""Steps about real processes that fail and callers that send invalid input."""

import json
import shutil
import signal
import socket
import struct
import subprocess
import sys
import threading

import urllib3
from behave import given, then, when
from behave.runner import Context

from features.support.processes import MODEL, ZONES, wait_until

NODES = 3
LONG_ANSWER = 300


class Caller(threading.Thread):
    """Streams one long call in the background."""

    def __init__(self, context: Context, node: int, name: str, repeatable: bool = False) -> None:
        super().__init__(daemon=True)
        self.system = context.system
        self.node = node
        self.repeatable = repeatable
        self.program = context.system.open_program(node)
        self.text = f"question of {name}"
        self.received = b""
        self.has_started = threading.Event()

    def run(self) -> None:
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": self.text}],
            "max_tokens": LONG_ANSWER,
            "stream": True,
        }
        headers = {
            "Yarrowwall-Program": self.program,
            "Yarrowwall-Call": "1",
            "Yarrowwall-Repeatable": str(self.repeatable).lower(),
        }
        try:
            response = urllib3.PoolManager(retries=False, timeout=60).request(
                "POST",
                self.system.url(self.node) + "/v1/chat/completions",
                json=body,
                headers=headers,
                preload_content=False,
            )
            for data in response.read_chunked():
                self.received += data
                self.has_started.set()
        except (urllib3.exceptions.HTTPError, OSError):
            pass

    def answer(self) -> str:
        """Return the streamed answer."""
        events = [line[6:] for line in self.received.decode().split("\n\n") if line]
        documents = [json.loads(event) for event in events if event != "[DONE]"]
        choices = [choice for item in documents for choice in item.get("choices", [])]
        return "".join(choice["delta"].get("content") or "" for choice in choices)

    def is_whole(self) -> bool:
        return self.received.endswith(b"data: [DONE]\n\n")

    def ask_again(self, node: int) -> urllib3.BaseHTTPResponse:
        return self.system.call(
            node,
            self.program,
            1,
            self.text,
            LONG_ANSWER,
            repeatable=str(self.repeatable).lower(),
        )


def start_callers(context: Context, count: int) -> None:
    context.callers = [
        Caller(context, number % NODES, str(number), repeatable=number % 2 == 0)
        for number in range(count)
    ]
    for caller in context.callers:
        caller.start()
    for caller in context.callers:
        assert caller.has_started.wait(60), "a stream did not begin"


@given("{count:d} callers that stream long answers through every node")
def streaming_callers(context: Context, count: int) -> None:
    start_callers(context, count)


@given("programs whose long calls run at every node")
def long_calls(context: Context) -> None:
    start_callers(context, 12)


@when("node {node:d} is asked to stop while they stream")
def ask_to_stop(context: Context, node: int) -> None:
    context.stopped = context.system.signal_node(node, signal.SIGTERM)


@then("every answer is whole")
def answers_complete(context: Context) -> None:
    for caller in context.callers:
        caller.join(60)
        assert caller.is_whole(), (caller.node, caller.received[-200:])
        assert len(caller.answer()) > LONG_ANSWER


@then("node {node:d} has exited with code {code:d}")
def exited(context: Context, node: int, code: int) -> None:
    assert context.stopped.wait(60) == code


@then("the other nodes accept new programs")
def others_accept(context: Context) -> None:
    for node in (0, 2):
        program = context.system.open_program(node)
        assert context.system.call(node, program, 1, "hello").status == 200


@when("node {node:d} is killed while they run")
def kill(context: Context, node: int) -> None:
    context.killed = node
    context.system.signal_node(node, signal.SIGKILL).wait()


@then(
    "each caller that comes back through another node gets the whole answer "
    'or a true "outcome_unknown"'
)
def retry_elsewhere(context: Context) -> None:
    for caller in context.callers:
        caller.join(60)
        if caller.is_whole():
            continue
        answer = caller.ask_again((context.killed + 1) % NODES)
        document = answer.json()
        if answer.status == 200:
            assert document["choices"][0]["message"]["content"], document
        else:
            assert document["error"]["type"] == "outcome_unknown", document
            assert not caller.repeatable, "a call that may be repeated was given up"


@then("no call that may not be repeated was started twice")
def started_at_most_once(context: Context) -> None:
    for caller in context.callers:
        starts = context.system.starts(caller.program)
        assert caller.repeatable or len(starts) <= 1, starts


def switch_platform(context: Context, **switches: object) -> None:
    url = f"http://{context.system.platform_address}/switches"
    assert context.system.pool.request("POST", url, json=switches).status == 200


@when("the platform goes down")
def platform_down(context: Context) -> None:
    switch_platform(context, down=True)


@given("the platform will lose the answers of {count:d} writes")
def lose_answers(context: Context, count: int) -> None:
    switch_platform(context, lose_answers=count)


@when("node {node:d} is killed and started again")
def restart(context: Context, node: int) -> None:
    context.system.signal_node(node, signal.SIGKILL).wait()
    context.system.start_node(node)
    wait_until(lambda: context.system.is_ready(node), "the node to be ready again")


@when("a peer sends node {node:d} an unknown message, an oversized frame and a cut one")
def bad_frames(context: Context, node: int) -> None:
    frames = [
        struct.pack(">IB", 5, 1) + b"x" + b"\xff\xff\xff\xff",
        struct.pack(">IB", 2**31, 1) + b"x",
        struct.pack(">IB", 100, 1) + b"xcut",
    ]
    context.closed = []
    host, port = context.system.peer_addresses[node].split(":")
    for data in frames:
        with socket.create_connection((host, int(port)), timeout=60) as connection:
            connection.sendall(data)
            connection.shutdown(socket.SHUT_WR)
            context.closed.append(connection.recv(1) == b"")


@then("each of its connections is closed")
def connections_closed(context: Context) -> None:
    assert context.closed == [True, True, True]


@then("node {node:d} still runs a program")
def still_runs(context: Context, node: int) -> None:
    program = context.system.open_program(node)
    assert context.system.call(node, program, 1, "hello").status == 200


@when('"{body}" is posted to "{path}"')
def post(context: Context, body: str, path: str) -> None:
    context.answer = context.system.pool.request(
        "POST", context.system.url(0) + path, body=body.encode()
    )


@then('the answer is status {status:d} with type "{kind}"')
def answer_is(context: Context, status: int, kind: str) -> None:
    assert context.answer.status == status, (context.answer.status, context.answer.data)
    assert context.answer.json()["error"]["type"] == kind, context.answer.data


@then("the node is healthy")
def healthy(context: Context) -> None:
    assert context.system.request(0, "GET", "/healthz").status == 200


@when("a body of {size:d} bytes is announced")
def announce(context: Context, size: int) -> None:
    context.answer = context.system.pool.request(
        "POST", context.system.url(0) + "/v1/programs", headers={"Content-Length": str(size)}
    )


@when('call 1 is made of the program "{program}"')
def call_unknown(context: Context, program: str) -> None:
    context.answer = context.system.call(0, program, 1, "hello")


@when('a call is made with the header "{header}" set to "{value}"')
def call_with_header(context: Context, header: str, value: str) -> None:
    body = {"model": MODEL, "messages": [{"role": "user", "content": "hello"}]}
    headers = {"Yarrowwall-Program": context.program, "Yarrowwall-Call": "1", header: value}
    url = context.system.url(0) + "/v1/chat/completions"
    context.answer = context.system.pool.request("POST", url, json=body, headers=headers)


@when("a caller starts call 1 as a stream at node {node:d} and closes its connection")
def disconnect(context: Context, node: int) -> None:
    body = json.dumps(
        {
            "model": MODEL,
            "messages": [{"role": "user", "content": "the question"}],
            "max_tokens": 16,
            "stream": True,
        }
    ).encode()
    host, port = context.system.http_addresses[node].split(":")
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: {host}\r\n"
        f"Content-Length: {len(body)}\r\nYarrowwall-Program: {context.program}\r\n"
        "Yarrowwall-Call: 1\r\n\r\n"
    )
    with socket.create_connection((host, int(port)), timeout=60) as connection:
        connection.sendall(head.encode() + body)
        assert connection.recv(1)


@then("call 1 finishes all the same and is answered from the record")
def finishes_all_the_same(context: Context) -> None:
    answer = context.system.call(2, context.program, 1, "the question")
    assert answer.status == 200, answer.data
    assert len(context.system.starts(context.program)) == 1


@when("a caller sends half a body and stops")
def slow_body(context: Context) -> None:
    host, port = context.system.http_addresses[0].split(":")
    connection = socket.create_connection((host, int(port)), timeout=60)
    context.add_cleanup(connection.close)
    connection.sendall(
        b'POST /v1/programs HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{"tenant":'
    )


@then("other callers are served meanwhile")
def served_meanwhile(context: Context) -> None:
    still_runs(context, 0)


@given("a settings file with a bad address, an unknown key and a missing zone")
def bad_settings(context: Context) -> None:
    text = context.system.settings_path(0).read_text()
    lines = [line for line in text.splitlines() if not line.startswith("zone = ")]
    lines.insert(0, 'peer_address = "localhost:1"\ncolour = "red"')
    kept = [line for line in lines if not line.startswith('peer_address = "127')]
    context.bad_path = context.system.folder / "bad.toml"
    context.bad_path.write_text("\n".join(kept))


@then("check-settings exits with 2 and one line for each fault")
def check_settings(context: Context) -> None:
    command = [sys.executable, "-m", "yarrowwall", "check-settings", str(context.bad_path)]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    assert result.returncode == 2, result
    for key in ("peer_address: 'localhost:1'", "colour: 'red'", "zone: missing"):
        assert any(line.startswith(key) for line in result.stderr.splitlines()), result.stderr


@when("node {node:d} loses its disk and an operator replaces its replica")
def replace_replica(context: Context, node: int) -> None:
    context.system.signal_node(node, signal.SIGKILL).wait()
    folder = context.system.folder / f"data-{node}"
    shutil.rmtree(folder)
    folder.mkdir()
    (folder / "replica-id").write_text("replica-new\n")
    context.system.start_node(node)
    wait_until(lambda: context.system.is_ready(node), "the node to be ready again")
    zone = ZONES[node]
    command = [sys.executable, "-m", "yarrowwall", "replica", "replace"]
    command += [f"replica-{node}", "replica-new", "--on", f"node-{node}", "--zone", zone]
    subprocess.run([*command, "--node", context.system.url(0)], check=True)


@then("the shard map of every node names the new replica alone")
def map_is_final(context: Context) -> None:
    def is_final(node: int) -> bool:
        status = context.system.request(node, "GET", "/v1/operator/status").json()
        shard_map = status["shard_map"]
        names = {item["replica_id"] for item in shard_map["replicas"]}
        return names == {"replica-0", "replica-1", "replica-new"} and not shard_map["next_replicas"]

    for node in range(NODES):
        wait_until(lambda node=node: is_final(node), f"the new shard map on node {node}")
