"""Steps about budgets and turns in zones that are partitioned."""

from collections.abc import Iterable, Mapping

from behave import given, then
from behave.runner import Context
from hypothesis import given as drawn
from hypothesis import strategies as st

from features.support.schedules import derandomized
from features.support.zone_model import run_zone_schedules
from features.support.zone_mutants import MUTANTS
from yarrowwall.policy.budget_parts import (
    ClaimState,
    PartReading,
    Verdict,
    allocate_spent,
    decide_grant,
    divide_budget,
    is_permanently_exhausted,
    pieces_to_take,
)
from yarrowwall.replication.rounds import Amount

#: Turns: the most tokens that each may emit, the percentage that it emits, and the zone of its
#: gateway.
TURNS = st.lists(
    st.tuples(st.integers(0, 200), st.integers(0, 100), st.integers(0, 3)), max_size=25
)


def _settled(parts: Iterable[Mapping[str, Amount]]) -> int:
    claims = [claim for part in parts for claim in part.values()]
    return sum(claim.tokens for claim in claims if claim.version == ClaimState.SETTLED)


@then("{count:d} random budgets are divided without a token lost or gained")
def budgets_are_divided(context: Context, count: int) -> None:
    @derandomized(count)
    @drawn(st.integers(0, 10**6), st.integers(0, 9))
    def check(budget: int, zones: int) -> None:
        parts = divide_budget(budget, zones)
        assert parts.common + zones * parts.per_zone == budget
        assert parts.common >= 0
        assert parts.per_zone >= 0
        assert zones or parts.common == budget

    check()


@then("{count:d} random sequences of turns exceed neither a part nor the budget")
def sequences_of_turns_hold(context: Context, count: int) -> None:
    @derandomized(count)
    @drawn(st.integers(0, 1000), st.integers(1, 4), TURNS, st.data())
    def check(budget: int, zones: int, turns: list, data: st.DataObject) -> None:
        parts = divide_budget(budget, zones)
        sizes = {0: parts.common} | dict.fromkeys(range(1, zones + 1), parts.per_zone)
        by_group: dict[int, dict[str, Amount]] = {group: {} for group in sizes}
        for number, (wanted, emitted_percent, zone) in enumerate(turns):
            answering = data.draw(st.sets(st.sampled_from(sorted(sizes)), min_size=1))
            own_group = 1 + zone % zones
            order = sorted(
                answering,
                key=lambda group, own_group=own_group: (group != 0, group != own_group, group),
            )
            readings = {
                group: PartReading(sizes[group], wanted, dict(by_group[group])) for group in order
            }
            unread = sum(size for group, size in sizes.items() if group not in answering)
            verdict = decide_grant(readings, f"t{number:03}", wanted, unread)
            used = sum(claim.tokens for claims in by_group.values() for claim in claims.values())
            if verdict is Verdict.EXHAUSTED:
                assert used + wanted > budget
            if is_permanently_exhausted(readings, wanted, unread):
                settled = _settled(by_group.values())
                assert settled + wanted > budget
                assert verdict is Verdict.EXHAUSTED
            if verdict not in (Verdict.GRANTED, Verdict.SHORT):
                continue
            pieces = pieces_to_take(readings, wanted)
            emitted = sum(pieces.values()) * emitted_percent // 100
            state = data.draw(st.sampled_from((ClaimState.GRANTED, ClaimState.SETTLED)))
            counted = allocate_spent(pieces, emitted) if state is ClaimState.SETTLED else pieces
            for group, tokens in counted.items():
                by_group[group][f"t{number:03}"] = Amount(state, tokens)
                assert sum(claim.tokens for claim in by_group[group].values()) <= sizes[group]

    check()


@then("{count:d} random grants are spent and released without a token lost or gained")
def grants_are_spent(context: Context, count: int) -> None:
    @derandomized(count)
    @drawn(
        st.dictionaries(st.integers(0, 5), st.integers(0, 500), min_size=1), st.integers(0, 3000)
    )
    def check(pieces: dict[int, int], tokens: int) -> None:
        spent = allocate_spent(pieces, tokens)
        assert sum(spent.values()) == tokens
        if tokens <= sum(pieces.values()):
            assert all(spent[group] <= granted for group, granted in pieces.items())

    check()


@given('the zone ledger\'s mutant "{name}"')
def use_zone_mutant(context: Context, name: str) -> None:
    mutant = MUTANTS[name]()
    mutant.__enter__()
    context.add_cleanup(mutant.__exit__, None, None, None)


@then("{count:d} random zone schedules from seed {first:d} violate no invariant")
def zone_schedules_hold(context: Context, count: int, first: int) -> None:
    counts = run_zone_schedules(count, first)
    # The schedules must exercise each of these events.
    for kind in ("answered", "402", "zone alone", "parts short", "TurnKeptInZone", "TurnCopied"):
        assert counts[kind] > count, f"{kind}: {counts[kind]} in {count} schedules"


@then("some of {count:d} random zone schedules violate an invariant")
def zone_schedules_break(context: Context, count: int) -> None:
    try:
        run_zone_schedules(count)
    except AssertionError:
        return
    raise AssertionError("the mutant was not detected")
