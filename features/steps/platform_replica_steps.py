"""Steps about replicas that are lost, replaced and retired."""

import shutil
import time

from behave import given, then, when
from behave.runner import Context

from features.support.platform_scripts import RETIREMENTS, check_retired_within, retire, world
from features.support.processes import wait_until


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


@when("storage machine {number:d} is being retired")
def retire_machine(context: Context, number: int) -> None:
    retire(context, f"storage-{number}")


@then("its retirement is complete within {limit:d} s and it is in no group")
def retirement_complete(context: Context, limit: int) -> None:
    check_retired_within(context, limit)
    view = world(context).store.get("yarrowwall-groups", "all")["spec"]["groups"][0]
    named = [member["node_id"] for member in [*view["members"], *view["joining"]]]
    assert context.retired not in named


@then("its retirement is not complete")
def retirement_not_complete(context: Context) -> None:
    status = world(context).store.get(RETIREMENTS, context.retired)["status"] or {}
    assert status.get("state") != "complete", status


@then("gateway {number:d} is not ready within {limit:d} s")
def not_ready_soon(context: Context, number: int, limit: int) -> None:
    started = time.monotonic()
    wait_until(lambda: not world(context).is_ready(f"edge-{number}"), "it is not ready")
    assert time.monotonic() - started < limit


@when("the two replicas start again")
def restart_two(context: Context) -> None:
    for name in ("storage-0", "storage-1"):
        world(context).start_machine(name, is_gateway=False)


@then("gateway {number:d} is ready within {limit:d} s")
def ready_soon(context: Context, number: int, limit: int) -> None:
    started = time.monotonic()
    wait_until(lambda: world(context).is_ready(f"edge-{number}"), "it is ready")
    assert time.monotonic() - started < limit
