"""Random histories of a configuration, of a reader that follows it and of a gateway that asks it.

Nothing here does I/O; the clocks of the reader and the gateway differ by minutes.
"""

import random
from dataclasses import dataclass, field

from yarrowwall.messages.objects import ObjectsReply, ObjectsStatus
from yarrowwall.policy.freshness import Freshness
from yarrowwall.watching import replies
from yarrowwall.watching.verified_state import VerifiedState

END_S = 30.0
CHANGES = 8
READER_CLOCK_S = 400.0
GATEWAY_CLOCK_S = -200.0


@dataclass(order=True)
class Step:
    """An event at a time of the simulation."""

    at_s: float
    order: int
    kind: str = field(compare=False)
    values: tuple = field(compare=False, default=())


def _delay_s(rng: random.Random) -> float:
    """Return a delay that is mostly short, and sometimes several seconds."""
    return rng.uniform(1.0, 6.0) if rng.random() < 0.15 else rng.uniform(0.0, 0.1)


def plan(rng: random.Random) -> tuple[list[float], list[Step]]:
    """Return when changes were acknowledged, and the events in order of time."""
    changed_s = sorted(rng.uniform(0.0, END_S) for _ in range(CHANGES))
    steps: list[Step] = []

    def add(at_s: float, kind: str, *values: float) -> None:
        steps.append(Step(at_s, len(steps), kind, values))

    for number, at_s in enumerate(changed_s, start=1):
        add(at_s + _delay_s(rng), "reader received", number)
    at_s = 0.0
    while at_s < END_S:
        seen_s = at_s + _delay_s(rng)
        answered_s = seen_s + _delay_s(rng)
        add(answered_s, "store answered", at_s, seen_s, answered_s)
        at_s = answered_s + rng.uniform(0.1, 1.0)
    at_s = 0.0
    while at_s < END_S:
        arrived_s = at_s + _delay_s(rng)
        replied_s = arrived_s + _delay_s(rng)
        heard_s = replied_s + _delay_s(rng)
        add(replied_s, "reader replied", at_s, arrived_s, replied_s, heard_s)
        at_s = heard_s + rng.uniform(0.0, 0.3)
    return changed_s, sorted(steps)


def oldest_trust_s(seed: int) -> float:
    """Play a random history; return by how many seconds a gateway trusted its state too long.

    Zero if it knew every change acknowledged before the time as of which it was verified.
    """
    rng = random.Random(seed)
    changed_s, steps = plan(rng)
    state = VerifiedState()
    freshness = Freshness(5.0, 3.0)
    known = 0
    heard: list[tuple[float, int, ObjectsReply, float]] = []
    worst_s = 0.0
    for step in steps:
        if step.kind == "reader received":
            # A reader that received a change has received all earlier ones.
            known = max(known, int(step.values[0]))
            state.note_known(known)
        elif step.kind == "store answered":
            sent_s, seen_s, answered_s = step.values
            revision = sum(at_s <= seen_s for at_s in changed_s)
            _note_answer(state, revision, sent_s, answered_s)
        else:
            sent_s, arrived_s, _, heard_s = step.values
            state_verified_s = state.verified_at_s
            after_s = (
                None
                if state_verified_s is None
                else state_verified_s - (arrived_s + READER_CLOCK_S)
            )
            reply = ObjectsReply(ObjectsStatus.OK, [], known, after_s)
            heard.append((heard_s, known, reply, sent_s))
    for heard_s, revision, reply, sent_s in sorted(heard, key=lambda one: one[0]):
        verified_at_s = _verified_at_s(reply, sent_s + GATEWAY_CLOCK_S, heard_s + GATEWAY_CLOCK_S)
        if verified_at_s is None:
            continue
        freshness.note_proved(verified_at_s)
        missed_s = [
            at_s for at_s in changed_s[revision:] if at_s <= verified_at_s - GATEWAY_CLOCK_S
        ]
        if missed_s:
            worst_s = max(worst_s, verified_at_s - GATEWAY_CLOCK_S - missed_s[0])
    return worst_s


def _note_answer(state: VerifiedState, revision: int, sent_s: float, answered_s: float) -> None:
    state.note_answer(revision, sent_s + READER_CLOCK_S)


def _verified_at_s(reply: ObjectsReply, sent_at_s: float, heard_at_s: float) -> float | None:
    return replies.verified_at_s(reply, sent_at_s)


# Mutants


def _verified_as_of_answer(
    state: VerifiedState, revision: int, sent_s: float, answered_s: float
) -> None:
    state.note_answer(revision, answered_s + READER_CLOCK_S)


def _verified_by_any_answer(
    state: VerifiedState, revision: int, sent_s: float, answered_s: float
) -> None:
    state.note_answer(0, sent_s + READER_CLOCK_S)


def _counted_from_reply(reply: ObjectsReply, sent_at_s: float, heard_at_s: float) -> float | None:
    return replies.verified_at_s(reply, heard_at_s)


#: Name of the function in this module that a mutant replaces, and its replacement.
MUTANTS = {
    "the state is verified as of the answer": ("_note_answer", _verified_as_of_answer),
    "an answer verifies a state not yet known": ("_note_answer", _verified_by_any_answer),
    "the client counts from the reply": ("_verified_at_s", _counted_from_reply),
}
