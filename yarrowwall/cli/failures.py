"""Command that lists failed or late programs and their causes, from many processes' logs."""

import json
from collections import Counter, defaultdict
from collections.abc import Iterable
from enum import StrEnum
from http import HTTPStatus
from pathlib import Path
from typing import Any, NamedTuple

import click

from yarrowwall.capacity.admission_client import NO_CAPACITY
from yarrowwall.cli.explain import read_lines
from yarrowwall.gateway.connection_ends import ConnectionEndReason
from yarrowwall.policy.freshness import TOO_OLD

_END_KINDS = {
    "AttemptAnswered",
    "AttemptRefused",
    "AnswerBrokenOff",
    "CallerLeft",
    "CallerGivenUp",
    "ConnectionEnded",
    "InternalFault",
}


class Cause(StrEnum):
    """Why a program failed, most severe first, for programs with several failed attempts."""

    #: The gateway died while a request that may not be repeated was in progress. Whether it ran
    #: cannot be determined, so it may not be sent again, and no policy can save the program.
    DIED_UNREPEATABLE = "gateway died, request may not be repeated"
    #: A server gave no usable answer to a request that may not be repeated.
    LOST_UNREPEATABLE = "answer lost, request may not be repeated"
    #: The gateway died; the caller may retry, but reached no other gateway in time.
    DIED_REPEATABLE = "gateway died, caller came back to nobody"
    #: The caller's key belongs to no tenant.
    KEY_UNKNOWN = "key unknown"
    #: The tenant's limit was used up, and the program was not retried in time.
    RATE_LIMIT = "refused by its tenant's limit"
    #: The configuration was too old to determine whether the key is still valid.
    STALE_CONFIGURATION = "refused for the configuration's age"
    #: The servers had no capacity, neither at the first attempt nor at a retry.
    CAPACITY = "refused for want of room"
    #: The gateway refused the request, which did not run.
    REFUSED = "refused as not run"
    #: A request that may be repeated got no usable answer before its timeout.
    TIMED_OUT = "no answer in time, request may be repeated"
    #: The gateway cut off an answer that could not be completed.
    BROKEN_OFF = "answer broken off"
    #: The connection ended before its answer, and the caller did not cause that.
    CONNECTION_ENDED = "connection ended before its answer"
    #: An unexpected exception in the gateway.
    INTERNAL_FAULT = "fault of the program"
    #: The caller read or sent nothing for too long.
    CALLER_GIVEN_UP = "caller given up"
    #: The caller closed its connection.
    CALLER_LEFT = "caller left"

    @property
    def is_avoidable(self) -> bool:
        """Return whether a different policy of the gateways might have saved the program."""
        return self not in (
            Cause.DIED_UNREPEATABLE,
            Cause.LOST_UNREPEATABLE,
            Cause.KEY_UNKNOWN,
        )


#: Causes of the gateways' own answers that follow from their status.
_CAUSES_BY_STATUS = {401: Cause.KEY_UNKNOWN, 429: Cause.RATE_LIMIT}
#: Causes that follow from the kind of the last line.
_CAUSES_BY_KIND = {
    "AnswerBrokenOff": Cause.BROKEN_OFF,
    "CallerLeft": Cause.CALLER_LEFT,
    "CallerGivenUp": Cause.CALLER_GIVEN_UP,
    "InternalFault": Cause.INTERNAL_FAULT,
}
#: Reasons in ``ConnectionEnded`` lines that are caused by the caller or its network path.
_CALLER_REASONS = {ConnectionEndReason.LEFT_WHILE_WRITING, ConnectionEndReason.WRITE_FAILED}


class Attempt(NamedTuple):
    """One attempt of a caller, as described by a log.

    :param ended_s: when it ended, at the latest with its gateway's process; None if it was still
        in progress at the end of the log.
    :param end: the line of its end; empty if its gateway died or the log ended before.
    :param tenant: name of its tenant; empty if not given.
    :param finish_s: deadline of its program; None if not given.
    """

    attempt_id: str
    program_id: str
    node: str
    route: str
    kind: str
    begun_s: float
    ended_s: float | None
    end: dict[str, Any]
    tenant: str = ""
    finish_s: float | None = None

    @property
    def program(self) -> tuple[str, str]:
        """Return its tenant and program; programs of two tenants may have the same id."""
        return self.tenant, self.program_id


class FailedProgram(NamedTuple):
    """A failed program, with the cause and the attempt that failed."""

    cause: Cause
    attempt: Attempt


def read_attempts(lines: Iterable[dict[str, Any]]) -> list[Attempt]:
    """Return the attempts of programs, ordered by arrival.

    :param lines: log lines; the lines of each gateway must be in their original order.
    """
    found: dict[str, Attempt] = {}
    open_by_node: dict[str, set[str]] = defaultdict(set)
    last_seen_s: dict[str, float] = {}
    for line in lines:
        attempt_id = line.get("attempt", "")
        node = line["node"]
        if line["kind"] == "ProcessChanged" and line["change"] == "started":
            for lost_id in open_by_node.pop(node, ()):
                found[lost_id] = found[lost_id]._replace(ended_s=last_seen_s[node])
        last_seen_s[node] = line["time"]
        if line["kind"] == "AttemptAdmitted" and line.get("program"):
            found[attempt_id] = Attempt(
                attempt_id,
                line["program"],
                node,
                line["route"],
                line.get("route_kind", ""),
                line["time"],
                None,
                {},
                line.get("tenant", ""),
                _finish_s(line),
            )
            open_by_node[node].add(attempt_id)
        elif line["kind"] in _END_KINDS and attempt_id in found:
            found[attempt_id] = found[attempt_id]._replace(ended_s=line["time"], end=line)
            open_by_node[node].discard(attempt_id)
    return sorted(found.values(), key=lambda attempt: attempt.begun_s)


def _finish_s(line: dict[str, Any]) -> float | None:
    finish_in_s = line.get("finish_in")
    return line["time"] + finish_in_s if finish_in_s is not None else None


def cause_of(attempt: Attempt) -> Cause | None:
    """Return why an attempt failed; None if it did not.

    Client errors other than 401 and 429 are not failures.
    """
    is_repeatable = attempt.kind != "mutating"
    if attempt.ended_s is None:
        return None
    if not attempt.end:
        return Cause.DIED_REPEATABLE if is_repeatable else Cause.DIED_UNREPEATABLE
    kind, status = attempt.end["kind"], attempt.end.get("status", 0)
    if kind in _CAUSES_BY_KIND:
        return _CAUSES_BY_KIND[kind]
    if kind == "ConnectionEnded":
        has_left = attempt.end.get("reason") in _CALLER_REASONS
        return Cause.CALLER_LEFT if has_left else Cause.CONNECTION_ENDED
    if kind == "AttemptAnswered":
        return None
    if status in _CAUSES_BY_STATUS:
        return _CAUSES_BY_STATUS[status]
    if status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return None
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        return _cause_of_unavailable(attempt.end.get("reason", ""))
    return Cause.TIMED_OUT if is_repeatable else Cause.LOST_UNREPEATABLE


def _cause_of_unavailable(reason: str) -> Cause:
    if reason.startswith(TOO_OLD):
        return Cause.STALE_CONFIGURATION
    return Cause.CAPACITY if reason.startswith(NO_CAPACITY) else Cause.REFUSED


def failed_programs(attempts: list[Attempt]) -> list[FailedProgram]:
    """Return the programs that made no further attempt after one had failed.

    A program that was idle when its gateway died and never continued cannot be distinguished from
    one that had finished, so it is not included.
    """
    # Attempts are ordered by time, so the last one of each program remains.
    last_begun_s = {attempt.program: attempt.begun_s for attempt in attempts}
    severity = list(Cause)
    failed: dict[tuple[str, str], FailedProgram] = {}
    for attempt in attempts:
        cause = cause_of(attempt)
        if cause is None or attempt.ended_s is None:
            continue
        if last_begun_s[attempt.program] > attempt.ended_s:
            continue
        known = failed.get(attempt.program)
        if known is None or severity.index(cause) < severity.index(known.cause):
            failed[attempt.program] = FailedProgram(cause, attempt)
    return sorted(failed.values(), key=lambda one: one.attempt.begun_s)


class LateProgram(NamedTuple):
    """A program that ended after its deadline, and how its time was spent.

    :param late_s: seconds between its deadline and its end.
    :param spent_s: seconds by activity, most first.
    """

    program_id: str
    tenant: str
    begun_s: float
    late_s: float
    spent_s: dict[str, float]


def late_programs(attempts: list[Attempt]) -> list[LateProgram]:
    """Return the programs whose last attempt was answered after their deadline.

    Sub-agents run concurrently, so the times of one program may add up to more than its duration.
    """
    by_program: dict[tuple[str, str], list[Attempt]] = defaultdict(list)
    for attempt in attempts:
        by_program[attempt.program].append(attempt)
    found: list[LateProgram] = []
    for (tenant, program_id), own in by_program.items():
        finish_s, last = own[0].finish_s, own[-1]
        if finish_s is None or last.ended_s is None or not _is_answered(last):
            continue
        if last.ended_s > finish_s:
            late_s = last.ended_s - finish_s
            begun_s = own[0].begun_s
            found.append(LateProgram(program_id, tenant, begun_s, late_s, _spent_s(own)))
    return sorted(found, key=lambda one: one.begun_s)


def _is_answered(attempt: Attempt) -> bool:
    return attempt.end.get("kind") == "AttemptAnswered"


def _spent_s(attempts: list[Attempt]) -> dict[str, float]:
    """Return the seconds that a program's attempts spent, by activity, most first."""
    spent_s: Counter[str] = Counter()
    for attempt in attempts:
        if attempt.ended_s is None:
            continue
        seconds = attempt.ended_s - attempt.begun_s
        first_s = attempt.end.get("first_seconds")
        if not _is_answered(attempt):
            spent_s["attempts that failed"] += seconds
        elif first_s is None:
            spent_s["lookups"] += seconds
        else:
            spent_s["waits for first events"] += first_s
            spent_s["events"] += seconds - first_s
    return dict(spent_s.most_common())


class RefusedAdmissions(NamedTuple):
    """Counts of programs that were refused for lack of capacity.

    :param by_tenant: refusals by the tenant of the program.
    :param by_holder: refusals by the tenant that had the most recently admitted programs then.
    :param by_scarce: refusals by the scarce resource.
    """

    by_tenant: Counter[str]
    by_holder: Counter[str]
    by_scarce: Counter[str]


def refused_admissions(lines: Iterable[dict[str, Any]]) -> RefusedAdmissions:
    """Return the counts of programs that were refused for lack of capacity."""
    found = RefusedAdmissions(Counter(), Counter(), Counter())
    for line in lines:
        if line["kind"] == "RoomDecided" and not line["admitted"]:
            found.by_tenant[line["tenant"]] += 1
            found.by_holder[line["holder"] or "nobody yet"] += 1
            found.by_scarce[line["scarce"]] += 1
    return found


#: Maximum number of names listed in each line about refusals for lack of capacity.
MAX_TENANTS_LISTED = 5


def _print_refused_admissions(found: RefusedAdmissions) -> None:
    if not found.by_tenant:
        return
    click.echo(f"{found.by_tenant.total():5d} new programs refused for want of room")
    for title, counts in zip(("of", "while most was held by", "lacking"), found, strict=True):
        listed = counts.most_common(MAX_TENANTS_LISTED)
        click.echo(f"      {title} " + ", ".join(f"{name} {count}" for name, count in listed))


@click.command()
@click.option("--late", is_flag=True, help="List the late programs instead.")
@click.argument("logs", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path))
@click.option("--output", type=click.Choice(["text", "json"]), default="text")
def failures(logs: tuple[Path, ...], output: str, late: bool) -> None:
    """List the programs that failed and their causes, or those that were late.

    LOGS are files of decision lines of all gateways, plain or gzipped. For each cause the
    output states whether a different policy might have saved the programs.
    """
    lines = [line for path in logs for line in read_lines(path)]
    attempts = read_attempts(lines)
    if late:
        _print_late(late_programs(attempts), output)
        return
    failed = failed_programs(attempts)
    if output == "json":
        for one in failed:
            row = {**one.attempt._asdict(), "cause": one.cause.value}
            click.echo(json.dumps(row))
        return
    for one in failed:
        attempt = one.attempt
        click.echo(
            f"{attempt.begun_s:.3f} {attempt.program_id} {attempt.tenant} {attempt.node}"
            f" {attempt.route}"
            f" {attempt.kind} {attempt.attempt_id}: {one.cause} {attempt.end.get('reason', '')}"
        )
    for cause, count in Counter(one.cause for one in failed).most_common():
        saved = "might be saved" if cause.is_avoidable else "could not be saved"
        click.echo(f"{count:5d} {cause} ({saved})")
    _print_refused_admissions(refused_admissions(lines))


def _print_late(programs: list[LateProgram], output: str) -> None:
    if output == "json":
        for one in programs:
            click.echo(json.dumps(one._asdict()))
        return
    for one in programs:
        spent = ", ".join(
            f"{activity} {seconds:.2f} s" for activity, seconds in one.spent_s.items()
        )
        click.echo(
            f"{one.begun_s:.3f} {one.program_id} {one.tenant} {one.late_s:.2f} s late: {spent}"
        )
    most = Counter(next(iter(one.spent_s), "") for one in programs)
    for activity, count in most.most_common():
        click.echo(f"{count:5d} spent most on {activity}")
