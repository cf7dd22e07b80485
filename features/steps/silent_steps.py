"""Steps about connections that fall silent without a reset."""

import socket
import time
from concurrent.futures import ThreadPoolExecutor
from threading import Thread

import eventlet
from behave import given, then, when
from behave.runner import Context

from features.soak.proxy import Mode, Proxy
from features.support.platform_scripts import world
from features.support.processes import wait_until
from yarrowwall.decisions import DecisionLog
from yarrowwall.messages.replicated import AskStatus, StatusReply
from yarrowwall.replication.exceptions import LinkDownError
from yarrowwall.replication.rpc import Link, serve_requests

ANSWER = StatusReply("storage-0", "disk", 1, True, 1)
TIMEOUT_S = 0.15
#: Longer than the timeout, shorter than the silence after which a connection is replaced.
LATE_ANSWER_S = 0.3
#: Seconds after which watches wait for changes to servers that were listed before.
WATCH_BEGUN_S = 1.5


@given("a link to a replica through a proxy")
def link_through_proxy(context: Context) -> None:
    listener = eventlet.listen(("127.0.0.1", 0))
    context.connections = 0
    context.delay_s = 0.0

    def handle(request: object, reply) -> None:
        eventlet.spawn_after(context.delay_s, reply, ANSWER)

    eventlet.spawn_n(serve_requests, listener, handle, DecisionLog("storage-0"))
    port = listener.getsockname()[1]

    def target() -> str:
        context.connections += 1
        return f"127.0.0.1:{port}"

    context.proxy = Proxy(target)
    context.link = Link(context.proxy.address, DecisionLog("edge-0"), time.monotonic)
    assert is_answered(context)


def is_answered(context: Context) -> bool:
    try:
        return isinstance(context.link.call(AskStatus(0), TIMEOUT_S), StatusReply)
    except LinkDownError:
        return False


@when("the link's connection falls silent")
def link_silent(context: Context) -> None:
    context.proxy.silence_open()


@then("requests are answered again within {limit:f} s")
def answered_again(context: Context, limit: float) -> None:
    end = time.monotonic() + limit
    while not is_answered(context):
        assert time.monotonic() < end
        eventlet.sleep(0.05)
    assert context.connections == 2
    context.proxy.close()


@when("some answers arrive after their timeout")
def late_answers(context: Context) -> None:
    context.delay_s = LATE_ANSWER_S
    for _ in range(8):
        assert not is_answered(context)
        eventlet.sleep(LATE_ANSWER_S)
    context.delay_s = 0.0
    assert is_answered(context)


@then("the connection is the same")
def same_connection(context: Context) -> None:
    assert context.connections == 1
    assert context.proxy.mode is Mode.PASS
    context.proxy.close()


@when("all connections to the store fall silent")
def store_silent(context: Context) -> None:
    for proxy in world(context).store_proxies.values():
        proxy.silence_open()


@when("connections to the store that were quiet for {quiet_s:f} s fall silent")
def quiet_silent(context: Context, quiet_s: float) -> None:
    time.sleep(quiet_s + WATCH_BEGUN_S)
    for proxy in world(context).store_proxies.values():
        proxy.silence_quiet(quiet_s)


@when('the first server of "{route}" drains, and {seconds:f} s pass')
def drains_unnoticed(context: Context, route: str, seconds: float) -> None:
    world(context).drain(context.by_route[route][0], route)
    time.sleep(seconds)


@when("all connections to servers fall silent")
def servers_silent(context: Context) -> None:
    for proxy in world(context).server_proxies.values():
        proxy.silence_open()


@when('the operators replace the key "{old}" of "{name}" by "{new}" without waiting')
def replace_without_waiting(context: Context, old: str, name: str, new: str) -> None:
    for tenant in world(context).tenants:
        if tenant["name"] == name:
            tenant["api_keys"] = [new if key == old else key for key in tenant["api_keys"]]
    for proxy in world(context).store_proxies.values():
        proxy.silence_open()
    context.version = world(context).publish()
    context.published_at = time.monotonic()


@then("within {limit:f} s every gateway knows the newest configuration")
def known_within(context: Context, limit: float) -> None:
    def is_known(name: str) -> bool:
        lines = world(context).log(name)
        return any(
            line["kind"] == "ConfigurationInForce" and line["version"] == context.version
            for line in lines
        )

    for name in ("edge-0", "edge-1"):
        wait_until(lambda name=name: is_known(name), f"{name} knows")
    assert time.monotonic() - context.published_at < limit


@when('{count:d} clients send nothing on "{route}" at once')
def send_at_once(context: Context, count: int, route: str) -> None:
    with ThreadPoolExecutor(count) as pool:
        context.answers = list(pool.map(lambda _: world(context).ask(route), range(count)))


@then("all came within {limit:f} s")
def all_within(context: Context, limit: float) -> None:
    slow = [answer.seconds for answer in context.answers if answer.seconds > limit]
    assert not slow, slow


@given("a link to a replica that never answers")
def link_without_answers(context: Context) -> None:
    listener = eventlet.listen(("127.0.0.1", 0))
    eventlet.spawn_n(
        serve_requests, listener, lambda request, reply: None, DecisionLog("storage-0")
    )
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    context.link = Link(address, DecisionLog("edge-0"), time.monotonic)
    context.link.post(AskStatus(0), lambda reply: None)
    eventlet.sleep(0.1)
    context.number = context.link._channel._connection.fileno()
    assert context.number in eventlet.hubs.get_hub().listeners["read"]


@when("the link is closed")
def close_link(context: Context) -> None:
    context.link.close()
    eventlet.sleep(0.1)


@then("eventlet's hub has no listener for its connection")
def no_listener(context: Context) -> None:
    assert context.number not in eventlet.hubs.get_hub().listeners["read"]


# The proxy itself

_PIECE = b"piece"


@given("a server behind a proxy that answers in two pieces")
def server_in_pieces(context: Context) -> None:
    listener = socket.create_server(("127.0.0.1", 0), backlog=8)
    context.add_cleanup(listener.close)

    def answer(connection: socket.socket) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with connection:
            while connection.recv(1):
                connection.sendall(_PIECE)
                connection.sendall(_PIECE)

    def accept() -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            Thread(target=answer, args=(connection,), daemon=True).start()

    Thread(target=accept, daemon=True).start()
    context.proxy = Proxy(lambda: f"127.0.0.1:{listener.getsockname()[1]}")
    context.add_cleanup(context.proxy.close)


def _count_answered(address: str, count: int) -> int:
    """Send requests one after another; return how many were answered before a failure."""
    host, _, port = address.partition(":")
    with socket.create_connection((host, int(port)), timeout=10.0) as connection:
        for number in range(count):
            try:
                connection.sendall(b"?")
                left = 2 * len(_PIECE)
                while left:
                    data = connection.recv(left)
                    if not data:
                        return number
                    left -= len(data)
            except OSError:
                return number
    return count


@when("{clients:d} clients send {count:d} requests each over one connection")
def send_over_one(context: Context, clients: int, count: int) -> None:
    with ThreadPoolExecutor(clients) as pool:
        sending = [
            pool.submit(_count_answered, context.proxy.address, count) for _ in range(clients)
        ]
    context.answered = [one.result() for one in sending]
    context.expected = [count] * clients


@then("every request is answered")
def all_answered(context: Context) -> None:
    assert context.answered == context.expected, context.answered
