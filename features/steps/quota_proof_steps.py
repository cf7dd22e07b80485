"""Steps about the state machines behind tenants' limits."""

from behave import given, then, when
from behave.runner import Context

from features.support.quota_model import END_S, LIMIT, TERMS, played
from features.support.quota_mutants import MUTANTS
from yarrowwall.clocks import Clock
from yarrowwall.messages.quotas import QuotaReply, QuotaStatus, ReturnQuota, TakeQuota, TenantLimit
from yarrowwall.messages.replicated import GroupView, Member
from yarrowwall.policy.program_sizes import ProgramSizes
from yarrowwall.quotas.issuer_lease import IssuerLease, ViewConfirmation
from yarrowwall.quotas.issuer_order import IssuerOrder
from yarrowwall.quotas.permit_issuer import PermitIssuer
from yarrowwall.quotas.quota_rules import QuotaRules

#: Schedules in which a mutant has to be found.
MUTANT_SEEDS = range(150)
NOW_S = 100.0
PLAIN = QuotaRules(5.0)


@then("the schedules {first:d} to {last:d} keep every window within the limit")
def schedules_hold(context: Context, first: int, last: int) -> None:
    excess = {seed: played(seed).excess() for seed in range(first, last + 1)}
    broken = {seed: value for seed, value in excess.items() if value > 0.0}
    assert not broken, broken


@then("some schedule finds that {mutant}")
def mutant_found(context: Context, mutant: str) -> None:
    with MUTANTS[mutant]():
        assert any(played(seed).excess() > 0.0 for seed in MUTANT_SEEDS)


@then("the schedules {first:d} to {last:d} use at least half of what the limit allows")
def schedules_use(context: Context, first: int, last: int) -> None:
    seeds = range(first, last + 1)
    arrived = sum(len(played(seed).arrived_s) for seed in seeds)
    allowed = TERMS.most(LIMIT) * END_S / TERMS.window_s * len(seeds)
    assert arrived > allowed / 2.0, (arrived, allowed)


@given("a member of a group of five in epoch 1")
def member_of_five(context: Context) -> None:
    context.disks = ["a", "b", "c", "d", "e"]
    members = [Member(disk, disk, "127.0.0.1:1", "z") for disk in context.disks]
    context.lease = IssuerLease("a", PLAIN.counted_s)
    context.lease.install_view(GroupView(0, 1, members, []), 0.0)


@when("{count:d} others vouch for epoch {epoch:d} by answers to questions sent {age:f} s ago")
def others_vouch(context: Context, count: int, epoch: int, age: float) -> None:
    confirmation = ViewConfirmation(epoch, NOW_S - age)
    context.confirmations = {disk: confirmation for disk in context.disks[1 : count + 1]}


@then("it lends: {lends}")
def it_lends(context: Context, lends: str) -> None:
    assert context.lease.holds(context.confirmations, NOW_S) == (lends == "yes")


def lender_of(context: Context, rate_per_s: float, burst: float) -> None:
    context.issuer = PermitIssuer(PLAIN, 1, lambda tenant, now_s: 0)
    context.limit = TenantLimit(1, rate_per_s, burst)
    context.replies = []


def ask(context: Context, at_s: float, count: int = 1, size: float = 0.0) -> QuotaReply:
    request = TakeQuota(0, "d", "alloy", context.limit, count, size)
    reply = context.issuer.issue(request, Clock(at_s, at_s)).reply
    context.replies.append(reply)
    return reply


@given("a lender of a part of {count:d} requests")
def lender_of_part(context: Context, count: int) -> None:
    lender_of(context, 0.0, count)


@given("a lender of a limit of {rate:d} a second and a burst of {burst:d}")
def lender_of_limit(context: Context, rate: int, burst: int) -> None:
    lender_of(context, rate, burst)


@when("{count:d} requests are lent and one is given back")
def lent_and_back(context: Context, count: int) -> None:
    for _ in range(count):
        assert ask(context, 0.0).status is QuotaStatus.GRANTED
    assert ask(context, 0.0).status is QuotaStatus.NO_ROOM
    context.issuer.return_permit(ReturnQuota(0, "d", "alloy", context.replies[0].ticket))
    context.at_s = 0.0


@then("{count:d} more is lent, and then none")
def more_lent(context: Context, count: int) -> None:
    more_lent_at(context, context.at_s, count)


@then("at {at_s:f} s {count:d} more is lent, and then none")
def more_lent_at(context: Context, at_s: float, count: int) -> None:
    for _ in range(count):
        assert ask(context, at_s).status is QuotaStatus.GRANTED
    assert ask(context, at_s).status is QuotaStatus.NO_ROOM


@when("3 requests are lent at 0.0, 1.0 and 2.0 s")
def lent_at(context: Context) -> None:
    for at_s in (0.0, 1.0, 2.0):
        assert ask(context, at_s).status is QuotaStatus.GRANTED


@then("at {at_s:f} s a caller is told to come back after {after_s:f} s")
def come_back(context: Context, at_s: float, after_s: float) -> None:
    reply = ask(context, at_s)
    assert reply.status is QuotaStatus.NO_ROOM
    assert abs(reply.retry_after_s - after_s) < 0.001, reply


@when("programs of {size:d} requests each begin at 0.0 and 1.0 s")
def programs_begin(context: Context, size: int) -> None:
    context.size = float(size)
    for at_s in (0.0, 1.0):
        assert ask(context, at_s, 0, context.size).status is QuotaStatus.GRANTED


@then("at {at_s:f} s one more is told to come back after {after_s:f} s")
def program_refused(context: Context, at_s: float, after_s: float) -> None:
    reply = ask(context, at_s, 0, context.size)
    assert reply.status is QuotaStatus.NO_ROOM
    assert abs(reply.retry_after_s - after_s) < 0.001, reply


@then("at {at_s:f} s one more is welcome")
def program_welcome(context: Context, at_s: float) -> None:
    assert ask(context, at_s, 0, context.size).status is QuotaStatus.GRANTED


@given('programs of 3 turns on "short" and of 11 turns on "long", with 1.3 lookups a turn')
def programs_run(context: Context) -> None:
    context.sizes = ProgramSizes()
    context.owed = 0.0
    context.run = lambda route, turns: _run_program(context, route, turns)


def _run_program(context: Context, route: str, turns: int) -> None:
    for number in range(turns):
        context.sizes.note_turn(route, number == 0)
        context.owed += 1.3
        while context.owed >= 1.0:
            context.owed -= 1.0
            context.sizes.note_lookup()


@then('{count:d} of each later "short" is expected to make 6 to 8 requests and "long" 23 to 28')
def sizes_learned(context: Context, count: int) -> None:
    for _ in range(count):
        context.run("short", 3)
        context.run("long", 11)
    assert 6.0 <= context.sizes.expected_requests("short") <= 8.0, context.sizes.expected_requests(
        "short"
    )
    assert 23.0 <= context.sizes.expected_requests("long") <= 28.0, context.sizes.expected_requests(
        "long"
    )


LENDERS = ("a1", "a2", "b1", "b2", "c1")


@given('lenders "a1", "a2", "b1", "b2" and "c1" in the zones they are named after')
def five_lenders(context: Context) -> None:
    context.order = IssuerOrder("a")
    context.issuers = [Member(name, name, "127.0.0.1:1", name[0]) for name in LENDERS]


@when("at {at_s:f} s nothing is known")
def nothing_known(context: Context, at_s: float) -> None:
    pass


@when('at {at_s:f} s "{name}" has no room')
def one_without_room(context: Context, at_s: float, name: str) -> None:
    member = next(one for one in context.issuers if one.node_id == name)
    context.order.note_exhausted(member, "alloy", 3.0, at_s)


@when('at {at_s:f} s "{name}" does not answer')
def one_silent(context: Context, at_s: float, name: str) -> None:
    context.order.note_silent(next(one for one in context.issuers if one.node_id == name), at_s)


@when("at {at_s:f} s none has room")
def none_with_room(context: Context, at_s: float) -> None:
    for name in LENDERS:
        one_without_room(context, at_s, name)


@when("at {at_s:f} s none answers")
def none_answers(context: Context, at_s: float) -> None:
    for name in LENDERS:
        one_silent(context, at_s, name)


def asked(context: Context, at_s: float) -> list[str]:
    return [one.node_id for one in context.order.candidates(context.issuers, "alloy", at_s)]


@then('at {at_s:f} s a gateway of zone "a" asks {count:d}')
def asks_count(context: Context, at_s: float, count: int) -> None:
    assert len(asked(context, at_s)) == count, asked(context, at_s)


@then('at {at_s:f} s a gateway of zone "a" asks {count:d}, those of its zone first')
def asks_zone_first(context: Context, at_s: float, count: int) -> None:
    asks_count(context, at_s, count)
    assert {name[0] for name in asked(context, at_s)[:2]} == {"a"}


@then('at {at_s:f} s a gateway of zone "a" asks {count:d}, "{name}" first')
def asks_first(context: Context, at_s: float, count: int, name: str) -> None:
    asks_count(context, at_s, count)
    assert asked(context, at_s)[0] == name


@then("for limits of 0 to 40 requests the parts of five lenders make up the limit")
def parts_make_up(context: Context) -> None:
    members = [Member(name, name, "127.0.0.1:1", "z") for name in LENDERS]
    entitlements = []
    for name in LENDERS:
        one = IssuerLease(name, PLAIN.counted_s)
        one.install_view(GroupView(0, 1, members, []), 0.0)
        entitlements.append(one)
    for most in range(41):
        limit = TenantLimit(1, 0.0, float(most))
        for tenant in ("alloy", "ore", "slag"):
            parts = [PLAIN.share(limit, 5, one.rank(tenant, NOW_S)) for one in entitlements]
            assert sum(parts) == most, (most, tenant, parts)
            assert max(parts) - min(parts) <= 1
