"""Steps about gateways that read the store through neighbours."""

from behave import given, then, when
from behave.runner import Context

from features.steps.freshness_steps import take_key_away
from features.steps.reach_steps import _metrics, cut_world
from features.support import relayed_reads_model
from features.support.relayed_reads_model import MUTANTS, Plan, Result, play

#: Schedules in which a mutant must be detected.
MUTANT_SEEDS = range(30)
LATE_SHARE = 0.3
DUPLICATE_SHARE = 0.3

CONDITIONS = {
    "neighbours live": {},
    "neighbours die": {"kills": True},
    "answers arrive late or twice": {"late_share": LATE_SHARE, "duplicate_share": DUPLICATE_SHARE},
}


@given("schedules in which {cut:d} of {gateways:d} gateways are cut off, and {condition}")
def schedules(context: Context, cut: int, gateways: int, condition: str) -> None:
    context.plan = Plan(gateways=gateways, cut=cut, **CONDITIONS[condition])


def _play(context: Context, count: int) -> list[Result]:
    context.results = [play(seed, context.plan) for seed in range(count)]
    return context.results


@then(
    "in {count:d} of them no configuration is older than {age_s:f} s, "
    "and each version is known within {late_s:f} s"
)
def stays_recent(context: Context, count: int, age_s: float, late_s: float) -> None:
    results = _play(context, count)
    wrong = [one for one in results if one.oldest_s > age_s or one.late_s > late_s]
    assert not wrong, wrong


@then("in {count:d} of them no gateway trusts its configuration too long")
def none_trusts(context: Context, count: int) -> None:
    _play(context, count)
    no_trust(context)


@then("no gateway trusts its configuration too long")
def no_trust(context: Context) -> None:
    wrong = [one for one in context.results if one.trusted_s > 0.0]
    assert not wrong, wrong


@then("gateways ask directly again within {limit_s:f} s of the end")
def directly_again(context: Context, limit_s: float) -> None:
    assert max(one.back_s for one in context.results) <= limit_s, context.results


@then("none sends more than {most:d} messages a second to neighbours, and none without a cut")
def few_messages(context: Context, most: int) -> None:
    _check_messages(context, most)
    assert not any(one.asked_without_cut for one in context.results), context.results


@then("in {count:d} of them none sends more than {most:d} messages a second to neighbours")
def few_of_many(context: Context, count: int, most: int) -> None:
    _play(context, count)
    _check_messages(context, most)


def _check_messages(context: Context, most: int) -> None:
    assert 0.0 < max(one.asked for one in context.results) <= most, context.results


@then("no neighbour forwards more than {most:d} requests at once")
def forwarded_at_once(context: Context, most: int) -> None:
    assert max(one.max_in_flight for one in context.results) <= most, context.results


@then("some of them finds that {mutant}")
def finds(context: Context, mutant: str) -> None:
    with MUTANTS[mutant]():
        assert any(play(seed, context.plan).trusted_s > 0.0 for seed in MUTANT_SEEDS)


@then("in {count:d} schedules in which {situation} no gateway asks a neighbour")
def none_asks(context: Context, count: int, situation: str) -> None:
    asked = {seed: relayed_reads_model.asked_without(situation, seed) for seed in range(count)}
    assert not any(asked.values()), asked


@given(
    "a gateway that is cut off for {seconds:d} s, whose first neighbour refuses reads of the store"
)
def refusing_neighbour(context: Context, seconds: int) -> None:
    context.refusal = relayed_reads_model.refused(0, float(seconds))


@then("that neighbour was asked at most {most:d} times, and is not skipped")
def asked_seldom(context: Context, most: int) -> None:
    assert 1 <= context.refusal.asked <= most, context.refusal
    assert not context.refusal.is_skipped, context.refusal


@then("the configuration is younger than {limit_s:f} s")
def is_recent(context: Context, limit_s: float) -> None:
    assert context.refusal.oldest_s < limit_s, context.refusal


# Real processes


@then("gateway 0 logged that readers answer through neighbours, and counts it")
def logged(context: Context) -> None:
    lines = [
        line["is_up"]
        for line in cut_world(context).log("edge-0")
        if line.get("dependency") == "readers/direct"
    ]
    assert lines == [False], lines
    found = 'yarrowwall_reader_questions_relayed_total{outcome="answered"} '
    counts = [
        float(line.removeprefix(found))
        for line in _metrics(context, "edge-0").splitlines()
        if line.startswith(found)
    ]
    assert counts and counts[0] > 1.0, counts


@when('the key "{key}" is revoked')
def key_taken_away(context: Context, key: str) -> None:
    take_key_away(context, key)
