"""Steps about the age of the configuration in force."""

import signal
import time
from unittest.mock import patch

import eventlet
from behave import given, then, when
from behave.runner import Context

from features.steps.tenant_steps import ask_as
from features.support import freshness_model
from features.support.freshness_model import MUTANTS, oldest_trust_s
from features.support.platform_scripts import arrivals, world
from features.support.processes import wait_until
from yarrowwall.decisions import DecisionLog
from yarrowwall.policy.freshness import Freshness
from yarrowwall.ports.object_store import ObjectName, StoredObject
from yarrowwall.watching.object_verifier import ObjectVerifier

SEEDS = range(400)
NOW_S = 1000.0
#: Seconds between two requests of a client.
PAUSE_S = 0.1
#: Seconds after an outage within which every answer that could violate the bound has arrived.
WATCHED_S = 8.0


@then("in {count:d} random histories no gateway trusts its configuration too long")
def no_trust_too_long(context: Context, count: int) -> None:
    wrong = [seed for seed in range(count) if oldest_trust_s(seed) > 0.0]
    assert not wrong, wrong


@then("some random history finds that {mutant}")
def mutant_found(context: Context, mutant: str) -> None:
    name, replacement = MUTANTS[mutant]
    with patch.object(freshness_model, name, replacement):
        assert any(oldest_trust_s(seed) > 0.0 for seed in SEEDS)


@given("a configuration that was verified {age} s ago, with bounds of 5 s and 3 s")
def verified_ago(context: Context, age: str) -> None:
    context.freshness = Freshness(5.0, 3.0)
    if age != "none":
        context.freshness.note_proved(NOW_S - float(age))


@then("keys are served: {served}, and unknown keys are denied: {denied}")
def bounds_hold(context: Context, served: str, denied: str) -> None:
    assert context.freshness.may_serve_keys(NOW_S) == (served == "yes")
    assert context.freshness.may_deny(NOW_S) == (denied == "yes")


class NewerStore:
    """A store whose answers show a newer state than its watches returned."""

    def __init__(self) -> None:
        self.read_at = 0.0
        self.interrupted_at = 0.0

    def get(self, kind: str, name: str, timeout_s: float) -> StoredObject:
        """Return the newer state."""
        self.read_at = self.read_at or time.monotonic()
        return StoredObject(name, 7, {}, {})

    def interrupt_watches(self) -> None:
        """Record the time."""
        self.interrupted_at = self.interrupted_at or time.monotonic()


@given("a verifier whose store has a newer state than the known one")
def stale_verifier(context: Context) -> None:
    context.newer = NewerStore()
    log = DecisionLog("storage-0")
    target = ObjectName("config", "main")
    context.verifier = ObjectVerifier(
        context.newer,
        target,
        log,
        time.monotonic,
        on_verified=lambda: None,
        on_stale=context.newer.interrupt_watches,
    )
    context.verifier.state.note_known(3)


@when("it has read once")
def read_once(context: Context) -> None:
    context.verifier.start()
    eventlet.sleep(0.5)
    context.verifier.stop()


@then("the watches are restarted within {limit_ms:d} ms")
def restarted(context: Context, limit_ms: int) -> None:
    assert context.newer.interrupted_at > 0.0
    took_s = context.newer.interrupted_at - context.newer.read_at
    assert took_s < limit_ms / 1000.0, took_s


# The store


def begin_outage(context: Context) -> None:
    context.outage_at = time.monotonic()


@when("the store is unreachable")
def store_down(context: Context) -> None:
    world(context).store.is_down = True
    begin_outage(context)


@when("the store is back")
def store_back(context: Context) -> None:
    world(context).store.is_down = False


@when("the store answers no reads of single objects, while watches go on")
def reads_lost(context: Context) -> None:
    world(context).store.loses_gets = True
    begin_outage(context)


@when("all watches are lost and a configuration is written")
def watches_lost(context: Context) -> None:
    world(context).store.lose_watches(0.3)
    time.sleep(0.4)
    context.version = world(context).publish()
    context.published_at = time.monotonic()


@when("every answer of the store takes {delay_ms:d} ms")
def slow_store(context: Context, delay_ms: int) -> None:
    world(context).store.list_delay_s = delay_ms / 1000.0


def take_key_away(context: Context, key: str) -> None:
    for one in world(context).tenants:
        one["api_keys"] = [known for known in one["api_keys"] if known != key]
    world(context).publish()
    context.taken_away_at = time.monotonic()


@when('no machine reaches the store and the key "{key}" is revoked')
def cut_and_take_away(context: Context, key: str) -> None:
    for name in world(context).processes:
        world(context).store.turn_away(name)
    take_key_away(context, key)


@when('gateway 0 is frozen for {seconds:d} s while the key "{key}" is revoked')
def freeze_gateway(context: Context, seconds: int, key: str) -> None:
    world(context).kill("edge-0", signal.SIGSTOP)
    take_key_away(context, key)
    time.sleep(seconds)
    world(context).kill("edge-0", signal.SIGCONT)


@when('the readers "{one}" and "{other}" are frozen')
def freeze_readers(context: Context, one: str, other: str) -> None:
    for name in (one, other):
        world(context).kill(name, signal.SIGSTOP)


# Clients


@then('a client with key "{key}" gets {status:d} on "{route}" for {seconds:f} s')
def gets_for(context: Context, key: str, status: int, route: str, seconds: float) -> None:
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        answer = ask_as(context, key, route)
        assert answer.status == status, answer
        time.sleep(PAUSE_S)


@then('a client with key "{key}" gets {status:d} on "{route}" within {limit:f} s of the outage')
def gets_within(context: Context, key: str, status: int, route: str, limit: float) -> None:
    while True:
        answer = ask_as(context, key, route)
        if answer.status == status:
            break
        assert time.monotonic() - context.outage_at < limit, answer
        time.sleep(PAUSE_S)
    context.answers = [answer]


@then('no request with "{key}" sent later than {bound:d} s after that is served on "{route}"')
def none_served_late(context: Context, key: str, bound: int, route: str) -> None:
    end = context.taken_away_at + WATCHED_S
    is_asked = False
    while time.monotonic() < end:
        is_late = time.monotonic() - context.taken_away_at > bound
        before = len(arrivals(context, route))
        answer = ask_as(context, key, route)
        if is_late:
            is_asked = True
            assert answer.status in (401, 503), answer
            assert len(arrivals(context, route)) == before
        time.sleep(PAUSE_S / 2)
    assert is_asked


@then("the gateways are not ready")
def not_ready(context: Context) -> None:
    for name in ("edge-0", "edge-1"):
        wait_until(lambda name=name: not world(context).is_ready(name), f"{name} is not ready")


@then("the gateways logged that their own queries failed")
def logged_failed_queries(context: Context) -> None:
    for name in ("edge-0", "edge-1"):
        lines = [one for one in world(context).log(name) if one["kind"] == "DependencyChanged"]
        assert any(one["dependency"] == "proof/config" and not one["is_up"] for one in lines)
