"""Random histories of a configuration, of a reader that asks for it and of its asker.

Nothing here does I/O; the reader's and the gateway's clocks differ by minutes.
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
    """Something that happens at a moment of the world's time."""

    at_s: float
    order: int
    kind: str = field(compare=False)
    values: tuple = field(compare=False, default=())


def _delay_s(rng: random.Random) -> float:
    """Return a delay that is short mostly, and seconds now and then."""
    return rng.uniform(1.0, 6.0) if rng.random() < 0.15 else rng.uniform(0.0, 0.1)


def plan(rng: random.Random) -> tuple[list[float], list[Step]]:
    """Return when changes were acknowledged, and what happens in which order."""
    changed_s = sorted(rng.uniform(0.0, END_S) for _ in range(CHANGES))
    steps: list[Step] = []

    def add(at_s: float, kind: str, *values: float) -> None:
        steps.append(Step(at_s, len(steps), kind, values))

    for number, at_s in enumerate(changed_s, start=1):
        add(at_s + _delay_s(rng), "reader told", number)
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

    Zero if it knew all that was acknowledged before the moment that it held to be proved.
    """
    rng = random.Random(seed)
    changed_s, steps = plan(rng)
    proof = VerifiedState()
    freshness = Freshness(5.0, 3.0)
    known = 0
    heard: list[tuple[float, int, ObjectsReply, float]] = []
    worst_s = 0.0
    for step in steps:
        if step.kind == "reader told":
            # A reader that is told of a change was told of all earlier ones.
            known = max(known, int(step.values[0]))
            proof.note_known(known)
        elif step.kind == "store answered":
            sent_s, seen_s, answered_s = step.values
            revision = sum(at_s <= seen_s for at_s in changed_s)
            _note_answer(proof, revision, sent_s, answered_s)
        else:
            sent_s, arrived_s, _, heard_s = step.values
            proved_s = proof.verified_at_s
            after_s = None if proved_s is None else proved_s - (arrived_s + READER_CLOCK_S)
            reply = ObjectsReply(ObjectsStatus.OK, [], known, after_s)
            heard.append((heard_s, known, reply, sent_s))
    for heard_s, revision, reply, sent_s in sorted(heard, key=lambda one: one[0]):
        verified_at_s = _proved_at_s(reply, sent_s + GATEWAY_CLOCK_S, heard_s + GATEWAY_CLOCK_S)
        if verified_at_s is None:
            continue
        freshness.note_proved(verified_at_s)
        missed_s = [
            at_s for at_s in changed_s[revision:] if at_s <= verified_at_s - GATEWAY_CLOCK_S
        ]
        if missed_s:
            worst_s = max(worst_s, verified_at_s - GATEWAY_CLOCK_S - missed_s[0])
    return worst_s


def _note_answer(proof: VerifiedState, revision: int, sent_s: float, answered_s: float) -> None:
    proof.note_answer(revision, sent_s + READER_CLOCK_S)


def _proved_at_s(reply: ObjectsReply, sent_at_s: float, heard_at_s: float) -> float | None:
    return replies.verified_at_s(reply, sent_at_s)


# Mutants


def _counted_from_answer(
    proof: VerifiedState, revision: int, sent_s: float, answered_s: float
) -> None:
    proof.note_answer(revision, answered_s + READER_CLOCK_S)


def _any_answer(proof: VerifiedState, revision: int, sent_s: float, answered_s: float) -> None:
    proof.note_answer(0, sent_s + READER_CLOCK_S)


def _counted_from_hearing(reply: ObjectsReply, sent_at_s: float, heard_at_s: float) -> float | None:
    return replies.verified_at_s(reply, heard_at_s)


#: What a mutant replaces in this module.
MUTANTS = {
    "the proof counts from the answer": ("_note_answer", _counted_from_answer),
    "an answer proves a state that is not known yet": ("_note_answer", _any_answer),
    "the asker counts from the reply": ("_proved_at_s", _counted_from_hearing),
}
