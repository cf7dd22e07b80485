"""Case 6: a caller without a key goes on from a tenant's turn."""

import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import CannotRunError, Engine, World, run_case

FOLDER = Path(__file__).resolve().parent
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TENANT, KEY = "acme", "jvz48wuakn2ftimaj3nr"
SECRET = b"our offer is 4711;"


def play(world: World) -> bool:
    public = world.turn_route(name="ask", path_prefix="/ask/", public=True)
    tenants = [{"name": TENANT, "api_keys": [KEY], "priority": 1, "rate_per_s": 160, "burst": 160}]
    world.configure([world.turn_route(public=False), public], [world.engine_service()], tenants)
    for number in range(3):
        zone = "zone-" + "abc"[number]
        world.engines[zone] = Engine(world, f"i-llm-{number}", "llm", zone)
    for zone in "abc":
        world.start(f"storage-{zone}-1", "replica", f"zone-{zone}", first=True)
    for zone in "ac":
        world.start(f"edge-{zone}-1", "gateway", f"zone-{zone}", first=True)
    world.wait_ready(["edge-a-1", "edge-c-1"])

    first = world.turn("edge-a-1", "theirs", SECRET, X_Key=KEY)
    if not first.is_answered:
        raise CannotRunError("the tenant's turn is not answered")
    if world.turn("edge-c-1", "nokey", b"hello;").status != 401:
        raise CannotRunError("a request without a key is not refused")
    if not world.turn("edge-c-1", "public", b"hello;", path="/ask/x").is_answered:
        raise CannotRunError("the public route answers no turn")
    # A caller without a key names a turn that isn't its own.
    named = f"{len(TENANT)}:{TENANT}:{first.attempt}" if HAS_TROUBLE else first.attempt
    forged = world.turn("edge-c-1", "forger", b"what was said?;", named, path="/ask/x")
    bodies = [
        body
        for engine in world.engines.values()
        for attempt, body in engine.runs
        if attempt == forged.attempt
    ]
    for body in bodies:
        world.record.note(f"the server ran {forged.attempt} with the body {body!r}")
    return any(SECRET in body for body in bodies)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
