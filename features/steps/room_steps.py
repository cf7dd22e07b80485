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
from features.support.platform_scripts import arrivals, world
from features.support.platform_world import Answer
from features.support.room_model import (
    Day,
    LetIn,
    OneDecides,
    OwnShares,
    Program,
    RoomModel,
    Way,
)
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
from yarrowwall.policy.tenant_shares import TenantShares, water_level

#: What a program that ends late is worth, in parts of one in time: callers give 0.12 to 0.46.
LATE_WORTH = 0.3
#: Memory of an engine that is four times what its places need of the shorter programs of the
#: model, and less than that of the longer ones.
AMPLE_FOR_SHORT_TOKENS = 326_000
NOW = 100.0
#: Tries within which a conversation reaches a server while new programs fill the places.
MOST_TRIES = 4


def share_of(programs: Iterable[Program], is_wanted: Callable[[Program], bool]) -> float:
    """Return the part of programs for which something holds."""
    found = [is_wanted(program) for program in programs]
    assert found
    return sum(found) / len(found)


def is_served(program: Program) -> bool:
    """Return whether a program ended at all."""
    return program.ended_s is not None


def worth(program: Program) -> float:
    """Return what a program earned."""
    return 1.0 if program.is_in_time else LATE_WORTH * is_served(program)


def play(context: Context, way: Way) -> None:
    """Play the day once more, in another way."""
    context.before = getattr(context, "model", None)
    context.model = RoomModel(context.day, way).run()


def of_burst(context: Context) -> list[Program]:
    """Return the programs that came within the burst."""
    day = context.day
    return [one for one in context.model.programs if day.from_s < one.begun_s < day.to_s]


@given(
    "a day with a burst of {burst:d} times, a tenant of {hot:d} times and a quarter of the"
    " engines slow"
)
def heavy_day(context: Context, burst: int, hot: int) -> None:
    context.day = Day(float(burst), float(hot), 0.25)


@given("a day without a burst")
def calm_day(context: Context) -> None:
    context.day = Day()


@given("sums of what is under way that are up to {age_ms:d} ms old")
def old_sums(context: Context, age_ms: int) -> None:
    context.day = context.day._replace(age_s=age_ms / 1000.0)


@given("a day with a burst of {burst:d} times of the longer kind and a quarter of the engines slow")
def day_of_long(context: Context, burst: int) -> None:
    context.day = Day(float(burst), float(burst), 0.25, burst_of_long=True)


@given("a day with a burst of {burst:d} times and a quarter of the engines slow")
def large_burst(context: Context, burst: int) -> None:
    context.day = Day(float(burst), float(burst), 0.25)


@given("{count:d} in 10 programs go on from a conversation")
def some_continued(context: Context, count: int) -> None:
    context.day = context.day._replace(continued_share=count / 10.0)


@then("at least {count:d} in 1000 programs of the burst that go on from a conversation are served")
def continued_served(context: Context, count: int) -> None:
    continued = [one for one in of_burst(context) if one.is_continued]
    assert 1000.0 * share_of(continued, is_served) >= count


@given("memory that is ample for the shorter kind of programs alone")
def ample_for_short(context: Context) -> None:
    context.day = context.day._replace(memory_tokens=AMPLE_FOR_SHORT_TOKENS)


@then("both kinds of programs are served within {count:d} in 1000 of each other")
def kinds_equal(context: Context, count: int) -> None:
    programs = of_burst(context)
    long = share_of([one for one in programs if one.is_long], is_served)
    short = share_of([one for one in programs if not one.is_long], is_served)
    assert abs(short - long) * 1000.0 <= count, (long, short)


@given("a day with a burst of {burst:d} times and all engines sound")
def bursty_day(context: Context, burst: int) -> None:
    context.day = Day(float(burst), float(burst))


@given("the same with a tenant of {hot:d} times")
def with_hot_tenant(context: Context, hot: int) -> None:
    context.day = context.day._replace(hot=float(hot))


@when("every program is let in")
def let_in(context: Context) -> None:
    play(context, LetIn())


@when("a replica admits programs by room")
def one_decides(context: Context) -> None:
    play(context, OneDecides())


@when("gateways admit programs within their own parts of the room")
def own_shares(context: Context) -> None:
    play(context, OwnShares(context.day.gateways))


@then("at {bound} {count:d} in 1000 programs that begin three seconds after the burst are in time")
def in_time_after(context: Context, bound: str, count: int) -> None:
    after = [one for one in context.model.programs if one.begun_s > context.day.to_s + 3.0]
    found = 1000.0 * share_of(after, lambda one: one.is_in_time)
    assert found >= count if bound == "least" else found <= count, found


@then("engines read {bound} than {count:d} million tokens")
def tokens_read(context: Context, bound: str, count: int) -> None:
    found = context.model.read_tokens / 1e6
    assert found > count if bound == "more" else found < count, found


@then("at least {count:d} in 1000 programs of the burst that were never refused are in time")
def admitted_in_time(context: Context, count: int) -> None:
    admitted = [one for one in of_burst(context) if not one.refusals]
    found = 1000.0 * share_of(admitted, lambda one: one.is_in_time)
    assert found >= count, found


@then("at {bound} {count:d} in 1000 programs of the burst are served")
def served(context: Context, bound: str, count: int) -> None:
    found = 1000.0 * share_of(of_burst(context), is_served)
    assert found >= count if bound == "least" else found <= count, found


@then("no program was refused while half of the places were free")
def none_refused_free(context: Context) -> None:
    assert context.model.refused_free == 0, context.model.refused_free


@then("longer programs are served within {count:d} in 1000 of shorter ones")
def kinds_alike(context: Context, count: int) -> None:
    programs = of_burst(context)
    long = share_of([one for one in programs if one.is_long], is_served)
    short = share_of([one for one in programs if not one.is_long], is_served)
    assert (short - long) * 1000.0 <= count, (long, short)


@then("both came to the same")
def same(context: Context) -> None:
    ends = [[one.ended_s for one in model.programs] for model in (context.before, context.model)]
    assert ends[0] == ends[1]


@then("the other tenants earn at {bound} {count:d} in 1000 less with the hot one")
def others_feel(context: Context, bound: str, count: int) -> None:
    earned = []
    for model in (context.before, context.model):
        others = [worth(one) for one in model.programs if one.tenant != "t0"]
        earned.append(sum(others) / len(others))
    less = (earned[0] - earned[1]) * 1000.0
    assert less >= count if bound == "least" else less <= count, earned


# Invariants of the decisions


def question(
    program: int, tenant: str = "t", taken: int = 0, places: int = 100, finish_in_s: float = 4.0
) -> AskRoom:
    """Return a question for room."""
    return AskRoom(
        "models", tenant, program, 1.0, 100, taken, 0.0, places, 20_000, finish_in_s, 1.6
    )


@then("whatever comes at once, no more is admitted than there is room for")
def never_beyond(context: Context) -> None:
    @settings(max_examples=200, deadline=None)
    @for_all(
        st.integers(0, 100),
        st.integers(0, 60),
        st.lists(st.tuples(st.integers(0, 50), st.sampled_from("abc")), max_size=120),
    )
    def check(taken: int, between: int, comers: list[tuple[int, str]]) -> None:
        admission = ProgramAdmission()
        under_way = ReportedPrograms(between, 0)
        begun = {
            program
            for program, tenant in comers
            if admission.decide(question(program, tenant, taken), under_way, NOW).is_admitted
        }
        room = max(0.0, SLOTS_SHARE * 100 - taken)
        assert len(begun) <= room, (len(begun), room)

    check()


@then("where memory is ample a few more turns are under way than there are places")
def ample(context: Context) -> None:
    taken = {}
    for memory_tokens in (20_000, 50_000):
        admission = ProgramAdmission()
        ask = question(1)
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


def admission_of(usual: AskRoom, programs: int) -> ProgramAdmission:
    """Return an admission that let programs in, one a second, all of which asked alike."""
    admission = ProgramAdmission()
    for program in range(programs):
        ask = dataclasses.replace(usual, program=program)
        assert admission.decide(ask, ReportedPrograms(), NOW + program).is_admitted
    return admission


@then("a program that keeps more memory than most may take as many places as they")
def same_places(context: Context) -> None:
    usual = dataclasses.replace(question(0, taken=90), memory_tokens=50_000)
    admission = admission_of(usual, 20)
    large = dataclasses.replace(usual, program=20, tokens=1000)
    assert admission.decide(large, ReportedPrograms(), NOW + 20.0).is_admitted


@then("a conversation that goes on is let in before all new programs, however late it is")
def conversations_first(context: Context) -> None:
    @settings(max_examples=200, deadline=None)
    @for_all(st.integers(1, 12), st.integers(1, 12), st.floats(0.0, 9.0))
    def check(new: int, continued: int, waited_s: float) -> None:
        admission = ProgramAdmission()
        # Each comes back within the time between two rounds.
        usual = dataclasses.replace(question(0, taken=100, finish_in_s=1.0), patience_s=0.3)
        asks = [dataclasses.replace(usual, program=number) for number in range(new)]
        asks += [
            dataclasses.replace(usual, program=100 + number, is_continued=True)
            for number in range(continued)
        ]
        ends_s = NOW + waited_s
        at_s = NOW
        while at_s <= ends_s:
            for ask in asks:
                assert not admission.decide(ask, ReportedPrograms(), at_s).is_admitted
            at_s += 0.3
        # There is room for half of the conversations.
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


@then("what one gateway believes of the servers decides little of how many places may be taken")
def one_view(context: Context) -> None:
    admission = admission_of(question(0, taken=70), 20)
    # One gateway takes half of the servers for slow.
    low = question(20, taken=70, places=50)
    assert admission.decide(low, ReportedPrograms(), NOW + 19.5).is_admitted
    # What was believed long ago counts no more.
    assert not admission.decide(
        dataclasses.replace(low, program=21), ReportedPrograms(), NOW + 30.0
    ).is_admitted


@then("a single huge program changes little of what is usual")
def huge_program(context: Context) -> None:
    usual = dataclasses.replace(question(0, taken=90), memory_tokens=50_000)
    admission = admission_of(usual, 200)
    huge = dataclasses.replace(usual, program=200, tokens=30_000)
    assert admission.decide(huge, ReportedPrograms(), NOW + 200.0).is_admitted
    again = dataclasses.replace(usual, program=201)
    assert admission.decide(again, ReportedPrograms(), NOW + 201.0).is_admitted


@then("of those who come back when they were told, the first refused goes first")
def first_goes_first(context: Context) -> None:
    @settings(max_examples=200, deadline=None)
    @for_all(st.integers(1, 10), st.integers(0, 15), st.randoms(use_true_random=False))
    def check(waiting: int, free: int, rng) -> None:  # type: ignore[no-untyped-def]
        admission = ProgramAdmission()
        for program in range(waiting):
            full = question(program, f"t{program}", taken=100)
            assert not admission.decide(full, ReportedPrograms(), NOW).is_admitted
        back = list(range(waiting + 5))
        rng.shuffle(back)
        taken = round(SLOTS_SHARE * 100) - free
        admitted = set()
        # All are due by now or any moment; the first have not been given up yet.
        later = NOW + 0.25
        # Callers knock again and again; the ones behind never get in before those ahead.
        for _ in range(3):
            for program in back:
                ask = question(program, f"t{program}", taken, finish_in_s=3.9)
                if program in admitted:
                    continue
                if admission.decide(ask, ReportedPrograms(), later).is_admitted:
                    admitted.add(program)
        assert len(admitted) == min(free, waiting + 5), (admitted, free, waiting)
        assert admitted >= set(range(min(free, waiting))), (admitted, free, waiting)

    check()


@then("a program that cannot be in time any more is overtaken, but not without end")
def late_not_starved(context: Context) -> None:
    admission = ProgramAdmission()
    late = question(0, "late", taken=100, finish_in_s=1.0)
    assert not admission.decide(late, ReportedPrograms(), NOW).is_admitted
    overtaken = 0
    now_s = NOW + 0.9
    for program in range(1, 50):
        now_s += 0.02
        ask = question(program, f"t{program}", taken=79 - program, finish_in_s=4.0)
        # One place is free each time, and the late one asks for it behind the new one.
        begun = admission.decide(ask, ReportedPrograms(), now_s).is_admitted
        overtaken += begun
        again = question(0, "late", taken=79 - program, finish_in_s=0.1)
        if admission.decide(again, ReportedPrograms(), now_s).is_admitted:
            break
    assert overtaken <= 4, overtaken


@then("all that is kept for callers that do not return is given to others")
def nothing_kept_for_ever(context: Context) -> None:
    admission = ProgramAdmission()
    waits = [
        admission.decide(question(program, taken=100), ReportedPrograms(), NOW).retry_after_s
        for program in range(50)
    ]
    later = NOW + max(waits) + GRACE_SECONDS + 0.01
    reply = admission.decide(question(99, "other", taken=79), ReportedPrograms(), later)
    assert reply.is_admitted and reply.waiting == 0, reply


@then("callers that are refused together are told to come back one after another")
def spread(context: Context) -> None:
    admission = ProgramAdmission()
    waits = [
        admission.decide(
            question(program, f"t{program}", taken=100), ReportedPrograms(), NOW
        ).retry_after_s
        for program in range(20)
    ]
    assert len({round(wait, 3) for wait in waits}) >= 18, waits
    assert all(0.1 <= wait <= 1.6 for wait in waits), waits


@then("an admitted program whose first turn is sent once more takes no second place")
def sent_again(context: Context) -> None:
    admission = ProgramAdmission()
    assert admission.decide(question(1, taken=79), ReportedPrograms(), NOW).is_admitted
    assert not admission.decide(question(2, taken=79), ReportedPrograms(), NOW).is_admitted
    assert admission.decide(question(1, taken=80), ReportedPrograms(), NOW + 0.3).is_admitted


@then("of two tenants the one with twice the agreed rate is over its share at twice as many")
def weighted(context: Context) -> None:
    shares = TenantShares()
    waiting = {"large": 100, "small": 100}
    for _ in range(20):
        shares.note_admitted("large", 20.0, NOW)
    for _ in range(8):
        shares.note_admitted("small", 10.0, NOW)
    assert shares.tenants_over(waiting) == {"large"}
    for _ in range(4):
        shares.note_admitted("small", 10.0, NOW)
    assert shares.tenants_over(waiting) == {"small"}


@then("a program that its tenant's limit refused after all leaves its room to the next")
def given_back(context: Context) -> None:
    admission = ProgramAdmission()
    assert admission.decide(question(1, taken=79), ReportedPrograms(), NOW).is_admitted
    admission.cancel(1, "t")
    assert admission.decide(question(2, taken=79), ReportedPrograms(), NOW).is_admitted
    assert not admission.decide(question(1, taken=79), ReportedPrograms(), NOW).is_admitted


@then("all of a capacity is shared out, and nobody goes without while another has more")
def max_min(context: Context) -> None:
    amounts = st.floats(0.0, 1000.0)

    @settings(max_examples=300, deadline=None)
    @for_all(st.lists(st.tuples(amounts, st.floats(0.1, 10.0)), min_size=1, max_size=20), amounts)
    def check(tenants: list[tuple[float, float]], capacity: float) -> None:
        demands = {str(number): demand for number, (demand, _) in enumerate(tenants)}
        weights = {str(number): weight for number, (_, weight) in enumerate(tenants)}
        level = water_level(demands, weights, capacity)
        given_out = sum(min(demand, weights[name] * level) for name, demand in demands.items())
        assert abs(given_out - min(capacity, sum(demands.values()))) < 1e-6 * (1.0 + capacity)

    check()


@then("gateways that see the same sums admit at most one each beyond the room")
def own_parts(context: Context) -> None:
    @settings(max_examples=200, deadline=None)
    @for_all(st.integers(1, 300), st.integers(0, 464), st.integers(1, 10))
    def check(gateways: int, taken: int, each: int) -> None:
        room = ServiceCapacity(taken, 464, taken, 464, 0, 0.1)
        shares = [LocalAdmission() for _ in range(gateways)]
        begun = sum(share.admits(room, 0, gateways, NOW) for share in shares for _ in range(each))
        free = SLOTS_SHARE * 464 - taken
        assert room.is_open or begun <= max(0.0, free) + gateways, (begun, free)

    check()


@then("a gateway that is told nothing keeps to {factor:d} times its even part")
def blind(context: Context, factor: int) -> None:
    assert factor == STALE_LOADS_FACTOR
    room = ServiceCapacity(0, 464, 0, 464, 0, 5.0)
    share = LocalAdmission()
    own = 0
    while share.admits(room, own, 29, NOW):
        own += 1
    bound = factor * SLOTS_SHARE * 464 / 29
    assert own - 1 < bound <= own, own


@then("a program counts between its turns for as long as it is likely to go on")
def counts_between(context: Context) -> None:
    programs = ActivePrograms()
    programs.begin_turn(1, "models", 3000, NOW)
    assert programs.by_service(NOW + 9.0) == [("models", 0, 3000)]
    programs.end_turn(1, NOW + 9.0)
    assert programs.by_service(NOW + 9.1) == [("models", 1, 3000)]
    assert programs.by_service(NOW + 12.0) == []


class _AddedUp:
    """The programs of a gateway, added up anew for each question."""

    def __init__(self) -> None:
        self._known: dict[int, list[Any]] = {}
        self._usual_s = INITIAL_PAUSE_SECONDS

    def begin_turn(self, program: int, service: str, tokens: int, now_s: float) -> None:
        """Take in that a turn begins."""
        known = self._known.pop(program, None)
        if known is not None and not known[1]:
            self._usual_s += PAUSE_WEIGHT * (now_s - known[3] - self._usual_s)
        service, turns, longest, _ = known or [service, 0, 0, now_s]
        self._known[program] = [service, turns + 1, max(longest, tokens), now_s]
        if len(self._known) > MAX_PROGRAMS:
            del self._known[next(iter(self._known))]

    def end_turn(self, program: int, now_s: float) -> None:
        """Take in that a turn is over."""
        known = self._known.get(program)
        if known is not None and known[1]:
            self._known[program] = self._known.pop(program)
            known[1] -= 1
            known[3] = now_s

    def by_service(self, now_s: float) -> dict[str, tuple[int, int]]:
        """Return programs between two turns, and tokens, by service."""
        since_s = now_s - min(CONTINUATION_FACTOR * self._usual_s, MAX_CONTINUATION_SECONDS)
        found: dict[str, tuple[int, int]] = {}
        for program, (service, turns, tokens, seen_s) in list(self._known.items()):
            if turns or seen_s >= since_s:
                between, held = found.get(service, (0, 0))
                found[service] = (between + (not turns), held + tokens)
            elif seen_s < now_s - MAX_CONTINUATION_SECONDS:
                del self._known[program]
        return found


@then("whatever turns begin and end, the kept sums are those of adding up anew")
def sums_alike(context: Context) -> None:
    happenings = st.tuples(
        st.sampled_from(["begin", "begin", "end", "end", "ask"]),
        st.integers(0, 7),
        st.integers(0, 4000),
        st.sampled_from([0.0, 0.01, 0.1, 0.3, 0.5, 1.0, 2.0]),
    )

    @settings(max_examples=300, deadline=None)
    @for_all(st.lists(happenings, max_size=120))
    def check(course: list[tuple[str, int, int, float]]) -> None:
        kept, anew = ActivePrograms(), _AddedUp()
        now_s = NOW
        for what, program, tokens, pause_s in course:
            now_s += pause_s
            for programs in (kept, anew):
                if what == "begin":
                    programs.begin_turn(program, "abc"[program % 3], tokens, now_s)
                elif what == "end":
                    programs.end_turn(program, now_s)
            if what == "ask":
                told = {one.service: (one.between, one.tokens) for one in kept.by_service(now_s)}
                assert told == anew.by_service(now_s)

    check()


@then("beyond the most that are remembered, the one seen longest ago is forgotten")
def oldest_forgotten(context: Context) -> None:
    kept, anew = ActivePrograms(), _AddedUp()
    for programs in (kept, anew):
        for program in range(MAX_PROGRAMS + 100):
            programs.begin_turn(program, "models", program, NOW + program * 1e-4)
            if program % 3:
                programs.end_turn(program, NOW + program * 1e-4)
    told = [(one.service, one.between, one.tokens) for one in kept.by_service(NOW + 0.6)]
    assert told == [(name, *sums) for name, sums in anew.by_service(NOW + 0.6).items()]


# At gateways


def talk(context: Context, program: str, gateway: int, session: str = "") -> Answer:
    """Send the first turn of a line of a program."""
    return turn(context, "talk", program, 1000, gateway, session=session or program)


@when("{count:d} new programs come at two gateways, one each {pause:d} ms")
def programs_come(context: Context, count: int, pause: int) -> None:
    with ThreadPoolExecutor(count + 1) as pool:
        coming = []
        for number in range(count):
            coming.append(pool.submit(talk, context, f"p{number}", number % 2))
            time.sleep(pause / 1000.0)
        helper = pool.submit(talk, context, "p0", 1, "helper")
        context.answers = [one.result() for one in coming]
        context.helper = helper.result()


@given('a conversation with one turn on "{route}"')
def begun_conversation(context: Context, route: str) -> None:
    answer = turn(context, route, "member", 1000)
    assert answer.status == 200 and answer.is_whole, answer
    context.previous = answer.headers["X-Attempt-Id"]


@when(
    "{count:d} new programs come at two gateways, one each {pause:d} ms, while the conversation"
    " goes on"
)
def goes_on_among(context: Context, count: int, pause: int) -> None:
    with ThreadPoolExecutor(count + 2) as pool:
        coming = []
        for number in range(count):
            coming.append(pool.submit(talk, context, f"p{number}", number % 2))
            time.sleep(pause / 1000.0)
        going_on = [pool.submit(go_on, context, gateway) for gateway in (0, 1)]
        context.answers = [one.result() for one in coming]
        context.continued = [one.result() for one in going_on]


def go_on(context: Context, gateway: int) -> list[Answer]:
    """Go on from the conversation under a new program; come back when told to."""
    headers = {"X_Previous_Turn": context.previous}
    tries: list[Answer] = []
    while len(tries) < MOST_TRIES:
        tries.append(turn(context, "talk", f"member-{gateway}", 1000, gateway, **headers))
        if tries[-1].status != 503:
            break
        time.sleep(float(tries[-1].headers["Retry-After"]))
    return tries


@then("the conversation got whole answers at both gateways, and no new program went before it")
def conversation_served(context: Context) -> None:
    for tries in context.continued:
        assert tries[-1].status == 200 and tries[-1].is_whole, tries
        for refused in tries[:-1]:
            (ahead,) = re.findall(rb"(\d+) of \d+ waiting go before", refused.body)
            # The turn at the other gateway may.
            assert int(ahead) <= 1, refused


@then("the first {count:d} of them at least got whole answers")
def first_whole(context: Context, count: int) -> None:
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


@then("a sub-agent of the first program got a whole answer meanwhile")
def helper_served(context: Context) -> None:
    assert context.helper.status == 200 and context.helper.is_whole, context.helper


@then("the log of a gateway tells why, and who had the room")
def log_tells(context: Context) -> None:
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


@when("those who were refused come back after all have ended")
def refused_return(context: Context) -> None:
    numbers = [number for number, answer in enumerate(context.answers) if answer.status != 200]
    time.sleep(2.5)
    with ThreadPoolExecutor(len(numbers)) as pool:
        context.answers = list(
            pool.map(lambda number: talk(context, f"p{number}", number % 2), numbers)
        )


@then("they all got whole answers")
def all_whole(context: Context) -> None:
    found = [(answer.status, answer.is_whole) for answer in context.answers]
    assert found == [(200, True)] * len(found), found
