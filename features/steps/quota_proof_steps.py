"""Steps about the state machines that enforce tenants' limits."""

from behave import given, then, when
from behave.runner import Context

from features.support.quota_model import END_S, LIMIT, RULES, played
from features.support.quota_mutants import MUTANTS
from yarrowwall.clocks import Clock
from yarrowwall.messages.quotas import QuotaReply, QuotaStatus, ReturnQuota, TakeQuota, TenantLimit
from yarrowwall.messages.replicated import GroupView, Member
from yarrowwall.policy.program_sizes import ProgramSizes
from yarrowwall.quotas.issuer_lease import IssuerLease, ViewConfirmation
from yarrowwall.quotas.issuer_order import IssuerOrder
from yarrowwall.quotas.permit_issuer import PermitIssuer
from yarrowwall.quotas.quota_rules import QuotaRules

#: Seeds of the schedules that have to detect a mutant.
MUTANT_SEEDS = range(150)
NOW_S = 100.0
PLAIN = QuotaRules(5.0)


@then("the schedules {first:d} to {last:d} keep every window within the limit")
def schedules_keep_limit(context: Context, first: int, last: int) -> None:
    excess = {seed: played(seed).excess() for seed in range(first, last + 1)}
    broken = {seed: value for seed, value in excess.items() if value > 0.0}
    assert not broken, broken


@then("some schedule detects that {mutant}")
def mutant_found(context: Context, mutant: str) -> None:
    with MUTANTS[mutant]():
        assert any(played(seed).excess() > 0.0 for seed in MUTANT_SEEDS)


@then("the schedules {first:d} to {last:d} use at least half of what the limit allows")
def schedules_use(context: Context, first: int, last: int) -> None:
    seeds = range(first, last + 1)
    arrived = sum(len(played(seed).arrived_s) for seed in seeds)
    allowed = RULES.max_requests(LIMIT) * END_S / RULES.window_s * len(seeds)
    assert arrived > allowed / 2.0, (arrived, allowed)


@given("a member of a group of five in epoch 1")
def member_of_five(context: Context) -> None:
    context.disks = ["a", "b", "c", "d", "e"]
    members = [Member(disk, disk, "127.0.0.1:1", "z") for disk in context.disks]
    context.lease = IssuerLease("a", PLAIN.counted_s)
    context.lease.install_view(GroupView(0, 1, members, []), 0.0)


@when("{count:d} others confirm epoch {epoch:d} in answers to requests sent {age:f} s ago")
def others_confirm(context: Context, count: int, epoch: int, age: float) -> None:
    confirmation = ViewConfirmation(epoch, NOW_S - age)
    context.confirmations = {disk: confirmation for disk in context.disks[1 : count + 1]}


@then("it issues permits: {issues}")
def it_issues(context: Context, issues: str) -> None:
    assert context.lease.is_held(context.confirmations, NOW_S) == (issues == "yes")


def issuer_of(context: Context, rate_per_s: float, burst: float) -> None:
    context.issuer = PermitIssuer(PLAIN, 1, lambda tenant, now_s: 0)
    context.limit = TenantLimit(1, rate_per_s, burst)
    context.replies = []


def ask(context: Context, at_s: float, count: int = 1, size: float = 0.0) -> QuotaReply:
    request = TakeQuota(0, "d", "alloy", context.limit, count, size)
    reply = context.issuer.issue(request, Clock(at_s, at_s)).reply
    context.replies.append(reply)
    return reply


@given("an issuer with a share of {count:d} requests")
def issuer_of_share(context: Context, count: int) -> None:
    issuer_of(context, 0.0, count)


@given("an issuer of a limit of {rate:d} a second and a burst of {burst:d}")
def issuer_of_limit(context: Context, rate: int, burst: int) -> None:
    issuer_of(context, rate, burst)


@when("{count:d} permits are issued and one is returned")
def issued_and_returned(context: Context, count: int) -> None:
    for _ in range(count):
        assert ask(context, 0.0).status is QuotaStatus.GRANTED
    assert ask(context, 0.0).status is QuotaStatus.NO_ROOM
    context.issuer.return_permit(ReturnQuota(0, "d", "alloy", context.replies[0].ticket))
    context.at_s = 0.0


@then("{count:d} more is issued, and then none")
def more_issued(context: Context, count: int) -> None:
    more_issued_at(context, context.at_s, count)


@then("at {at_s:f} s {count:d} more is issued, and then none")
def more_issued_at(context: Context, at_s: float, count: int) -> None:
    for _ in range(count):
        assert ask(context, at_s).status is QuotaStatus.GRANTED
    assert ask(context, at_s).status is QuotaStatus.NO_ROOM


@when("3 permits are issued at 0.0, 1.0 and 2.0 s")
def issued_at(context: Context) -> None:
    for at_s in (0.0, 1.0, 2.0):
        assert ask(context, at_s).status is QuotaStatus.GRANTED


@then("at {at_s:f} s a request is refused with a retry time of {after_s:f} s")
def refused_until(context: Context, at_s: float, after_s: float) -> None:
    reply = ask(context, at_s)
    assert reply.status is QuotaStatus.NO_ROOM
    assert abs(reply.retry_after_s - after_s) < 0.001, reply


@when("programs of {size:d} requests each begin at 0.0 and 1.0 s")
def programs_begin(context: Context, size: int) -> None:
    context.size = float(size)
    for at_s in (0.0, 1.0):
        assert ask(context, at_s, 0, context.size).status is QuotaStatus.GRANTED


@then("at {at_s:f} s one more is refused with a retry time of {after_s:f} s")
def program_refused(context: Context, at_s: float, after_s: float) -> None:
    reply = ask(context, at_s, 0, context.size)
    assert reply.status is QuotaStatus.NO_ROOM
    assert abs(reply.retry_after_s - after_s) < 0.001, reply


@then("at {at_s:f} s one more is admitted")
def program_admitted(context: Context, at_s: float) -> None:
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


ISSUERS = ("a1", "a2", "b1", "b2", "c1")


@given('issuers "a1", "a2", "b1", "b2" and "c1" in the zones they are named after')
def five_issuers(context: Context) -> None:
    context.order = IssuerOrder("a")
    context.issuers = [Member(name, name, "127.0.0.1:1", name[0]) for name in ISSUERS]


@when("at {at_s:f} s nothing is known")
def nothing_known(context: Context, at_s: float) -> None:
    pass


@when('at {at_s:f} s "{name}" has no permits')
def one_exhausted(context: Context, at_s: float, name: str) -> None:
    member = next(one for one in context.issuers if one.node_id == name)
    context.order.note_exhausted(member, "alloy", 3.0, at_s)


@when('at {at_s:f} s "{name}" does not answer')
def one_unavailable(context: Context, at_s: float, name: str) -> None:
    context.order.note_unavailable(
        next(one for one in context.issuers if one.node_id == name), at_s
    )


@when("at {at_s:f} s none has permits")
def none_with_permits(context: Context, at_s: float) -> None:
    for name in ISSUERS:
        one_exhausted(context, at_s, name)


@when("at {at_s:f} s none answers")
def none_answers(context: Context, at_s: float) -> None:
    for name in ISSUERS:
        one_unavailable(context, at_s, name)


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


@then("for limits of 0 to 40 requests the shares of five issuers add up to the limit")
def shares_add_up(context: Context) -> None:
    members = [Member(name, name, "127.0.0.1:1", "z") for name in ISSUERS]
    leases = []
    for name in ISSUERS:
        one = IssuerLease(name, PLAIN.counted_s)
        one.install_view(GroupView(0, 1, members, []), 0.0)
        leases.append(one)
    for most in range(41):
        limit = TenantLimit(1, 0.0, float(most))
        for tenant in ("alloy", "ore", "slag"):
            shares = [PLAIN.share(limit, 5, one.rank(tenant, NOW_S)) for one in leases]
            assert sum(shares) == most, (most, tenant, shares)
            assert max(shares) - min(shares) <= 1
