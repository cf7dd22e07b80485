"""Steps about the admission of new programs while servers are scarce."""

import dataclasses
import re
import time
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from features.steps.platform_program_steps import turn
from features.support.admission_model import (
    AdmissionModel,
    AdmitAll,
    GatewaysDecide,
    Load,
    Program,
    ReplicaDecides,
    Strategy,
)
from features.support.platform_scripts import arrivals, world
from features.support.platform_world import Answer
from yarrowwall.messages.capacity import AskRoom
from yarrowwall.policy.active_programs import (
    CONTINUATION_FACTOR,
    INITIAL_PAUSE_SECONDS,
    MAX_CONTINUATION_SECONDS,
    MAX_PROGRAMS,
    PAUSE_WEIGHT,
    ActivePrograms,
)
from yarrowwall.policy.capacity_forecast import SLOTS_SHARE, ReportedPrograms, ServiceCapacity
from yarrowwall.policy.local_admission import STALE_LOADS_FACTOR, LocalAdmission
from yarrowwall.policy.program_admission import ProgramAdmission
from yarrowwall.policy.retry_queue import GRACE_SECONDS
from yarrowwall.policy.tenant_shares import TenantShares, fair_share_level

#: Score of a program that finishes late, relative to one in time; callers rate it 0.12 to 0.46.
LATE_SCORE = 0.3
#: Cache memory of an engine that holds four of the model's short programs per slot, but fewer of
#: the long ones.
PLENTIFUL_FOR_SHORT_TOKENS = 326_000
NOW = 100.0
#: Tries within which a conversation must reach a server while new programs fill the slots.
MAX_TRIES = 4


def share_of(programs: Iterable[Program], is_wanted: Callable[[Program], bool]) -> float:
    """Return the share of programs that satisfy a predicate."""
    found = [is_wanted(program) for program in programs]
    assert found
    return sum(found) / len(found)


def is_served(program: Program) -> bool:
    """Return whether a program finished."""
    return program.ended_s is not None


def score(program: Program) -> float:
    """Return the score of a program."""
    return 1.0 if program.is_in_time else LATE_SCORE * is_served(program)


def run_model(context: Context, strategy: Strategy) -> None:
    """Run the load once more with another admission strategy."""
    context.before = getattr(context, "model", None)
    context.model = AdmissionModel(context.load, strategy).run()


def of_burst(context: Context) -> list[Program]:
    """Return the programs that arrived during the burst."""
    load = context.load
    return [one for one in context.model.programs if load.from_s < one.begun_s < load.to_s]


@given(
    "a burst at {burst:d} times the normal rate, one tenant at {hot:d} times and a quarter of the"
    " engines slow"
)
def heavy_load(context: Context, burst: int, hot: int) -> None:
    context.load = Load(float(burst), float(hot), 0.25)


@given("a normal load without a burst")
def normal_load(context: Context) -> None:
    context.load = Load()


@given("load reports that are up to {age_ms:d} ms old")
def old_reports(context: Context, age_ms: int) -> None:
    context.load = context.load._replace(age_s=age_ms / 1000.0)


@given(
    "a burst of long programs at {burst:d} times the normal rate and a quarter of the engines slow"
)
def burst_of_long(context: Context, burst: int) -> None:
    context.load = Load(float(burst), float(burst), 0.25, burst_of_long=True)


@given("a burst at {burst:d} times the normal rate and a quarter of the engines slow")
def large_burst(context: Context, burst: int) -> None:
    context.load = Load(float(burst), float(burst), 0.25)


@given("{count:d} in 10 programs continue a conversation")
def some_continued(context: Context, count: int) -> None:
    context.load = context.load._replace(continued_share=count / 10.0)


@then("at least {count:d} in 1000 programs of the burst that continue a conversation are served")
def continued_served(context: Context, count: int) -> None:
    continued = [one for one in of_burst(context) if one.is_continued]
    assert 1000.0 * share_of(continued, is_served) >= count


@given("cache memory that is plentiful for short programs only")
def plentiful_for_short(context: Context) -> None:
    context.load = context.load._replace(memory_tokens=PLENTIFUL_FOR_SHORT_TOKENS)


@then("the served shares of short and long programs differ by at most {count:d} in 1000")
def kinds_equal(context: Context, count: int) -> None:
    programs = of_burst(context)
    long = share_of([one for one in programs if one.is_long], is_served)
    short = share_of([one for one in programs if not one.is_long], is_served)
    assert abs(short - long) * 1000.0 <= count, (long, short)


@given("a burst at {burst:d} times the normal rate and all engines healthy")
def burst_on_healthy(context: Context, burst: int) -> None:
    context.load = Load(float(burst), float(burst))


@given("the same with one tenant at {hot:d} times its normal rate")
def with_hot_tenant(context: Context, hot: int) -> None:
    context.load = context.load._replace(hot=float(hot))


@when("every program is admitted")
def admit_all(context: Context) -> None:
    run_model(context, AdmitAll())


@when("a replica decides which programs are admitted")
def replica_decides(context: Context) -> None:
    run_model(context, ReplicaDecides())


@when("each gateway admits programs within its share of the capacity")
def gateways_decide(context: Context) -> None:
    run_model(context, GatewaysDecide(context.load.gateways))


@then(
    "at {bound} {count:d} in 1000 programs that begin three seconds after the burst finish in time"
)
def in_time_after(context: Context, bound: str, count: int) -> None:
    after = [one for one in context.model.programs if one.begun_s > context.load.to_s + 3.0]
    found = 1000.0 * share_of(after, lambda one: one.is_in_time)
    assert found >= count if bound == "least" else found <= count, found


@then("engines prefill {bound} than {count:d} million tokens")
def tokens_read(context: Context, bound: str, count: int) -> None:
    found = context.model.prefilled_tokens / 1e6
    assert found > count if bound == "more" else found < count, found


@then("at least {count:d} in 1000 programs of the burst that were never refused finish in time")
def admitted_in_time(context: Context, count: int) -> None:
    admitted = [one for one in of_burst(context) if not one.refusals]
    found = 1000.0 * share_of(admitted, lambda one: one.is_in_time)
    assert found >= count, found


@then("at {bound} {count:d} in 1000 programs of the burst are served")
def served(context: Context, bound: str, count: int) -> None:
    found = 1000.0 * share_of(of_burst(context), is_served)
    assert found >= count if bound == "least" else found <= count, found


@then("no program was refused while half of the slots were free")
def none_refused_free(context: Context) -> None:
    assert context.model.refused_free == 0, context.model.refused_free


@then(
    "the served share of long programs is at most {count:d} in 1000 lower than that of short ones"
)
def kinds_alike(context: Context, count: int) -> None:
    programs = of_burst(context)
    long = share_of([one for one in programs if one.is_long], is_served)
    short = share_of([one for one in programs if not one.is_long], is_served)
    assert (short - long) * 1000.0 <= count, (long, short)


@then("both runs had the same result")
def same(context: Context) -> None:
    ends = [[one.ended_s for one in model.programs] for model in (context.before, context.model)]
    assert ends[0] == ends[1]


@then("the other tenants score at {bound} {count:d} in 1000 lower with the hot tenant")
def others_feel(context: Context, bound: str, count: int) -> None:
    scores = []
    for model in (context.before, context.model):
        others = [score(one) for one in model.programs if one.tenant != "t0"]
        scores.append(sum(others) / len(others))
    difference = (scores[0] - scores[1]) * 1000.0
    assert difference >= count if bound == "least" else difference <= count, scores


# Properties of the decisions


def admission_request(
    program: int, tenant: str = "t", taken: int = 0, places: int = 100, finish_in_s: float = 4.0
) -> AskRoom:
    """Return an admission request."""
    return AskRoom(
        "models", tenant, program, 1.0, 100, taken, 0.0, places, 20_000, finish_in_s, 1.6
    )


@then("concurrent requests never admit more programs than there is capacity for")
def never_beyond(context: Context) -> None:
    @settings(max_examples=200, deadline=None)
    @for_all(
        st.integers(0, 100),
        st.integers(0, 60),
        st.lists(st.tuples(st.integers(0, 50), st.sampled_from("abc")), max_size=120),
    )
    def check(taken: int, between: int, requests: list[tuple[int, str]]) -> None:
        admission = ProgramAdmission()
        reported = ReportedPrograms(between, 0)
        begun = {
            program
            for program, tenant in requests
            if admission.decide(
                admission_request(program, tenant, taken), reported, NOW
            ).is_admitted
        }
        free = max(0.0, SLOTS_SHARE * 100 - taken)
        assert len(begun) <= free, (len(begun), free)

    check()


@then("with plentiful cache memory more turns may be in progress than there are slots")
def plentiful(context: Context) -> None:
    taken = {}
    for memory_tokens in (20_000, 50_000):
        admission = ProgramAdmission()
        ask = admission_request(1)
        taken[memory_tokens] = max(
            count
            for count in range(150)
            if admission.decide(
                dataclasses.replace(ask, program=count, taken=count, memory_tokens=memory_tokens),
                ReportedPrograms(),
                NOW + count,
            ).is_admitted
        )
    assert taken == {20_000: 79, 50_000: 124}, taken


def admission_of(typical: AskRoom, programs: int) -> ProgramAdmission:
    """Return an admission that has admitted equal programs, one per second."""
    admission = ProgramAdmission()
    for program in range(programs):
        ask = dataclasses.replace(typical, program=program)
        assert admission.decide(ask, ReportedPrograms(), NOW + program).is_admitted
    return admission


@then("a program that needs more memory than most is admitted up to the same load")
def same_limit(context: Context) -> None:
    typical = dataclasses.replace(admission_request(0, taken=90), memory_tokens=50_000)
    admission = admission_of(typical, 20)
    large = dataclasses.replace(typical, program=20, tokens=1000)
    assert admission.decide(large, ReportedPrograms(), NOW + 20.0).is_admitted


@then("a continued conversation is admitted before all new programs, however late it is")
def conversations_first(context: Context) -> None:
    @settings(max_examples=200, deadline=None)
    @for_all(st.integers(1, 12), st.integers(1, 12), st.floats(0.0, 9.0))
    def check(new: int, continued: int, waited_s: float) -> None:
        admission = ProgramAdmission()
        # Each retries before its entry in the queue expires.
        typical = dataclasses.replace(
            admission_request(0, taken=100, finish_in_s=1.0), patience_s=0.3
        )
        asks = [dataclasses.replace(typical, program=number) for number in range(new)]
        asks += [
            dataclasses.replace(typical, program=100 + number, is_continued=True)
            for number in range(continued)
        ]
        ends_s = NOW + waited_s
        at_s = NOW
        while at_s <= ends_s:
            for ask in asks:
                assert not admission.decide(ask, ReportedPrograms(), at_s).is_admitted
            at_s += 0.3
        # There is capacity for half of the conversations.
        free = (continued + 1) // 2
        begun = [
            ask.program
            for ask in asks
            if admission.decide(
                dataclasses.replace(ask, taken=80 - free), ReportedPrograms(), at_s
            ).is_admitted
        ]
        assert begun == list(range(100, 100 + free)), (begun, free)

    check()


@then("the view of a single gateway has little influence on the capacity")
def one_view(context: Context) -> None:
    admission = admission_of(admission_request(0, taken=70), 20)
    # One gateway considers half of the servers slow.
    low = admission_request(20, taken=70, places=50)
    assert admission.decide(low, ReportedPrograms(), NOW + 19.5).is_admitted
    # Older views have expired.
    assert not admission.decide(
        dataclasses.replace(low, program=21), ReportedPrograms(), NOW + 30.0
    ).is_admitted


@then("a single huge program has little influence on the average program")
def huge_program(context: Context) -> None:
    typical = dataclasses.replace(admission_request(0, taken=90), memory_tokens=50_000)
    admission = admission_of(typical, 200)
    huge = dataclasses.replace(typical, program=200, tokens=30_000)
    assert admission.decide(huge, ReportedPrograms(), NOW + 200.0).is_admitted
    again = dataclasses.replace(typical, program=201)
    assert admission.decide(again, ReportedPrograms(), NOW + 201.0).is_admitted


@then("programs that retry when they are due are admitted in the order of their first refusal")
def first_goes_first(context: Context) -> None:
    @settings(max_examples=200, deadline=None)
    @for_all(st.integers(1, 10), st.integers(0, 15), st.randoms(use_true_random=False))
    def check(waiting: int, free: int, rng) -> None:  # type: ignore[no-untyped-def]
        admission = ProgramAdmission()
        for program in range(waiting):
            full = admission_request(program, f"t{program}", taken=100)
            assert not admission.decide(full, ReportedPrograms(), NOW).is_admitted
        back = list(range(waiting + 5))
        rng.shuffle(back)
        taken = round(SLOTS_SHARE * 100) - free
        admitted = set()
        # All are due or about to be, and none has expired.
        later = NOW + 0.25
        # Callers retry repeatedly; later ones are never admitted before earlier ones.
        for _ in range(3):
            for program in back:
                ask = admission_request(program, f"t{program}", taken, finish_in_s=3.9)
                if program in admitted:
                    continue
                if admission.decide(ask, ReportedPrograms(), later).is_admitted:
                    admitted.add(program)
        assert len(admitted) == min(free, waiting + 5), (admitted, free, waiting)
        assert admitted >= set(range(min(free, waiting))), (admitted, free, waiting)

    check()


@then("a program that can no longer finish in time is overtaken, but does not starve")
def late_not_starved(context: Context) -> None:
    admission = ProgramAdmission()
    late = admission_request(0, "late", taken=100, finish_in_s=1.0)
    assert not admission.decide(late, ReportedPrograms(), NOW).is_admitted
    overtaken = 0
    now_s = NOW + 0.9
    for program in range(1, 50):
        now_s += 0.02
        ask = admission_request(program, f"t{program}", taken=79 - program, finish_in_s=4.0)
        # One slot is free each time, and the late program asks for it after the new one.
        begun = admission.decide(ask, ReportedPrograms(), now_s).is_admitted
        overtaken += begun
        again = admission_request(0, "late", taken=79 - program, finish_in_s=0.1)
        if admission.decide(again, ReportedPrograms(), now_s).is_admitted:
            break
    assert overtaken <= 4, overtaken


@then("capacity kept for callers that do not retry is given to others")
def queue_entries_expire(context: Context) -> None:
    admission = ProgramAdmission()
    waits = [
        admission.decide(
            admission_request(program, taken=100), ReportedPrograms(), NOW
        ).retry_after_s
        for program in range(50)
    ]
    later = NOW + max(waits) + GRACE_SECONDS + 0.01
    reply = admission.decide(admission_request(99, "other", taken=79), ReportedPrograms(), later)
    assert reply.is_admitted and reply.waiting == 0, reply


@then("callers that are refused together are given different retry times")
def retry_times_differ(context: Context) -> None:
    admission = ProgramAdmission()
    waits = [
        admission.decide(
            admission_request(program, f"t{program}", taken=100), ReportedPrograms(), NOW
        ).retry_after_s
        for program in range(20)
    ]
    assert len({round(wait, 3) for wait in waits}) >= 18, waits
    assert all(0.1 <= wait <= 1.6 for wait in waits), waits


@then("an admitted program whose first turn is repeated takes no second slot")
def sent_again(context: Context) -> None:
    admission = ProgramAdmission()
    assert admission.decide(admission_request(1, taken=79), ReportedPrograms(), NOW).is_admitted
    assert not admission.decide(admission_request(2, taken=79), ReportedPrograms(), NOW).is_admitted
    assert admission.decide(
        admission_request(1, taken=80), ReportedPrograms(), NOW + 0.3
    ).is_admitted


@then("a tenant with twice the agreed rate exceeds its share at twice as many programs")
def weighted(context: Context) -> None:
    shares = TenantShares()
    waiting = {"large": 100, "small": 100}
    for _ in range(20):
        shares.note_admitted("large", 20.0, NOW)
    for _ in range(8):
        shares.note_admitted("small", 10.0, NOW)
    assert shares.tenants_over_share(waiting) == {"large"}
    for _ in range(4):
        shares.note_admitted("small", 10.0, NOW)
    assert shares.tenants_over_share(waiting) == {"small"}


@then("a program that its tenant's limit refused afterwards leaves its capacity to the next")
def capacity_released(context: Context) -> None:
    admission = ProgramAdmission()
    assert admission.decide(admission_request(1, taken=79), ReportedPrograms(), NOW).is_admitted
    admission.cancel(1, "t")
    assert admission.decide(admission_request(2, taken=79), ReportedPrograms(), NOW).is_admitted
    assert not admission.decide(admission_request(1, taken=79), ReportedPrograms(), NOW).is_admitted


@then("shares are max-min fair and add up to the capacity")
def max_min(context: Context) -> None:
    amounts = st.floats(0.0, 1000.0)

    @settings(max_examples=300, deadline=None)
    @for_all(st.lists(st.tuples(amounts, st.floats(0.1, 10.0)), min_size=1, max_size=20), amounts)
    def check(tenants: list[tuple[float, float]], capacity: float) -> None:
        demands = {str(number): demand for number, (demand, _) in enumerate(tenants)}
        weights = {str(number): weight for number, (_, weight) in enumerate(tenants)}
        level = fair_share_level(demands, weights, capacity)
        given_out = sum(min(demand, weights[name] * level) for name, demand in demands.items())
        assert abs(given_out - min(capacity, sum(demands.values()))) < 1e-6 * (1.0 + capacity)

    check()


@then("gateways with the same loads exceed the capacity by at most one program each")
def own_shares_only(context: Context) -> None:
    @settings(max_examples=200, deadline=None)
    @for_all(st.integers(1, 300), st.integers(0, 464), st.integers(1, 10))
    def check(gateways: int, taken: int, each: int) -> None:
        capacity = ServiceCapacity(taken, 464, taken, 464, 0, 0.1)
        shares = [LocalAdmission() for _ in range(gateways)]
        begun = sum(
            share.admits(capacity, 0, gateways, NOW) for share in shares for _ in range(each)
        )
        free = SLOTS_SHARE * 464 - taken
        assert capacity.is_open or begun <= max(0.0, free) + gateways, (begun, free)

    check()


@then("a gateway with stale loads keeps to {factor:d} times its even share")
def stale_loads(context: Context, factor: int) -> None:
    assert factor == STALE_LOADS_FACTOR
    capacity = ServiceCapacity(0, 464, 0, 464, 0, 5.0)
    share = LocalAdmission()
    own = 0
    while share.admits(capacity, own, 29, NOW):
        own += 1
    bound = factor * SLOTS_SHARE * 464 / 29
    assert own - 1 < bound <= own, own


@then("a program counts between its turns for as long as it is likely to continue")
def counts_between(context: Context) -> None:
    programs = ActivePrograms()
    programs.begin_turn(1, "models", 3000, NOW)
    assert programs.by_service(NOW + 9.0) == [("models", 0, 3000)]
    programs.end_turn(1, NOW + 9.0)
    assert programs.by_service(NOW + 9.1) == [("models", 1, 3000)]
    assert programs.by_service(NOW + 12.0) == []


class _RecomputedPrograms:
    """Reference implementation that recomputes the sums of a gateway's programs on each call."""

    def __init__(self) -> None:
        self._known: dict[int, list[Any]] = {}
        self._average_pause_s = INITIAL_PAUSE_SECONDS

    def begin_turn(self, program: int, service: str, tokens: int, now_s: float) -> None:
        """Record the start of a turn."""
        known = self._known.pop(program, None)
        if known is not None and not known[1]:
            self._average_pause_s += PAUSE_WEIGHT * (now_s - known[3] - self._average_pause_s)
        service, turns, longest, _ = known or [service, 0, 0, now_s]
        self._known[program] = [service, turns + 1, max(longest, tokens), now_s]
        if len(self._known) > MAX_PROGRAMS:
            del self._known[next(iter(self._known))]

    def end_turn(self, program: int, now_s: float) -> None:
        """Record the end of a turn."""
        known = self._known.get(program)
        if known is not None and known[1]:
            self._known[program] = self._known.pop(program)
            known[1] -= 1
            known[3] = now_s

    def by_service(self, now_s: float) -> dict[str, tuple[int, int]]:
        """Return the number of programs between two turns, and the tokens, by service."""
        since_s = now_s - min(CONTINUATION_FACTOR * self._average_pause_s, MAX_CONTINUATION_SECONDS)
        found: dict[str, tuple[int, int]] = {}
        for program, (service, turns, tokens, seen_s) in list(self._known.items()):
            if turns or seen_s >= since_s:
                between, held = found.get(service, (0, 0))
                found[service] = (between + (not turns), held + tokens)
            elif seen_s < now_s - MAX_CONTINUATION_SECONDS:
                del self._known[program]
        return found


@then("after any sequence of turns, the incremental sums equal recomputed ones")
def sums_alike(context: Context) -> None:
    events = st.tuples(
        st.sampled_from(["begin", "begin", "end", "end", "ask"]),
        st.integers(0, 7),
        st.integers(0, 4000),
        st.sampled_from([0.0, 0.01, 0.1, 0.3, 0.5, 1.0, 2.0]),
    )

    @settings(max_examples=300, deadline=None)
    @for_all(st.lists(events, max_size=120))
    def check(sequence: list[tuple[str, int, int, float]]) -> None:
        incremental, recomputed = ActivePrograms(), _RecomputedPrograms()
        now_s = NOW
        for what, program, tokens, pause_s in sequence:
            now_s += pause_s
            for programs in (incremental, recomputed):
                if what == "begin":
                    programs.begin_turn(program, "abc"[program % 3], tokens, now_s)
                elif what == "end":
                    programs.end_turn(program, now_s)
            if what == "ask":
                found = {
                    one.service: (one.between, one.tokens) for one in incremental.by_service(now_s)
                }
                assert found == recomputed.by_service(now_s)

    check()


@then("beyond the maximum number, the least recently seen program is dropped")
def oldest_dropped(context: Context) -> None:
    incremental, recomputed = ActivePrograms(), _RecomputedPrograms()
    for programs in (incremental, recomputed):
        for program in range(MAX_PROGRAMS + 100):
            programs.begin_turn(program, "models", program, NOW + program * 1e-4)
            if program % 3:
                programs.end_turn(program, NOW + program * 1e-4)
    found = [(one.service, one.between, one.tokens) for one in incremental.by_service(NOW + 0.6)]
    assert found == [(name, *sums) for name, sums in recomputed.by_service(NOW + 0.6).items()]


# At gateways


def talk(context: Context, program: str, gateway: int, session: str = "") -> Answer:
    """Send the first turn of a session of a program."""
    return turn(context, "talk", program, 1000, gateway, session=session or program)


@when("{count:d} new programs arrive at two gateways, one every {pause:d} ms")
def programs_arrive(context: Context, count: int, pause: int) -> None:
    with ThreadPoolExecutor(count + 1) as pool:
        pending = []
        for number in range(count):
            pending.append(pool.submit(talk, context, f"p{number}", number % 2))
            time.sleep(pause / 1000.0)
        helper = pool.submit(talk, context, "p0", 1, "helper")
        context.answers = [one.result() for one in pending]
        context.helper = helper.result()


@given('a conversation with one turn on "{route}"')
def begun_conversation(context: Context, route: str) -> None:
    answer = turn(context, route, "member", 1000)
    assert answer.status == 200 and answer.is_whole, answer
    context.previous = answer.headers["X-Attempt-Id"]


@when(
    "{count:d} new programs arrive at two gateways, one every {pause:d} ms, and the conversation"
    " continues"
)
def continues_among(context: Context, count: int, pause: int) -> None:
    with ThreadPoolExecutor(count + 2) as pool:
        pending = []
        for number in range(count):
            pending.append(pool.submit(talk, context, f"p{number}", number % 2))
            time.sleep(pause / 1000.0)
        continued = [pool.submit(continue_conversation, context, gateway) for gateway in (0, 1)]
        context.answers = [one.result() for one in pending]
        context.continued = [one.result() for one in continued]


def continue_conversation(context: Context, gateway: int) -> list[Answer]:
    """Continue the conversation under a new program; retry after ``Retry-After``."""
    headers = {"X_Previous_Turn": context.previous}
    tries: list[Answer] = []
    while len(tries) < MAX_TRIES:
        tries.append(turn(context, "talk", f"member-{gateway}", 1000, gateway, **headers))
        if tries[-1].status != 503:
            break
        time.sleep(float(tries[-1].headers["Retry-After"]))
    return tries


@then("the conversation got complete answers at both gateways, and no new program came before it")
def conversation_served(context: Context) -> None:
    for tries in context.continued:
        assert tries[-1].status == 200 and tries[-1].is_whole, tries
        for refused in tries[:-1]:
            (ahead,) = re.findall(rb"(\d+) of \d+ waiting go before", refused.body)
            # Only the turn at the other gateway may come before it.
            assert int(ahead) <= 1, refused


@then("at least the first {count:d} of them got complete answers")
def first_complete(context: Context, count: int) -> None:
    statuses = [answer.status for answer in context.answers]
    assert all(answer.is_whole for answer in context.answers), statuses
    assert statuses[:count] == [200] * count, statuses


@then("the others got 503 with Retry-After and reached no server")
def others_refused(context: Context) -> None:
    refused = [answer for answer in context.answers if answer.status != 200]
    assert refused and all(answer.status == 503 for answer in refused), refused
    assert all(0.0 < float(answer.headers["Retry-After"]) <= 1.1 for answer in refused), refused
    reached = {arrival.attempt_id for arrival in arrivals(context, "talk")}
    assert not reached & {answer.headers["X-Attempt-Id"] for answer in refused}
    assert max(answer.seconds for answer in refused) < 0.5, refused


@then("a sub-agent of the first program got a complete answer in the meantime")
def helper_served(context: Context) -> None:
    assert context.helper.status == 200 and context.helper.is_whole, context.helper


@then("the gateways' logs state the reason and the tenant with the most programs")
def log_states_reason(context: Context) -> None:
    lines = [
        line
        for name in ("edge-0", "edge-1")
        for line in world(context).log(name)
        if line["kind"] == "RoomDecided"
    ]
    refused = [line for line in lines if not line["admitted"]]
    assert refused and all(line["scarce"] in ("places", "turn") for line in refused), lines
    assert all(line["taken"] >= 8 and line["places"] == 16 for line in lines), lines
    assert all(line["holder_share"] == 1.0 for line in refused), refused


@when("the refused programs retry after all others have ended")
def refused_return(context: Context) -> None:
    numbers = [number for number, answer in enumerate(context.answers) if answer.status != 200]
    time.sleep(2.5)
    with ThreadPoolExecutor(len(numbers)) as pool:
        context.answers = list(
            pool.map(lambda number: talk(context, f"p{number}", number % 2), numbers)
        )


@then("they all got complete answers")
def all_complete(context: Context) -> None:
    found = [(answer.status, answer.is_whole) for answer in context.answers]
    assert found == [(200, True)] * len(found), found
