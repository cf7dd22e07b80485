"""Programs that failed, by what ended them, from the logs of many processes."""

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

_ENDS = {
    "AttemptAnswered",
    "AttemptRefused",
    "AnswerBrokenOff",
    "CallerLeft",
    "CallerGivenUp",
    "ConnectionEnded",
    "InternalFault",
}


class Cause(StrEnum):
    """What ended a program, worst first where several of its attempts failed at once."""

    #: The gateway died while a request that may not be repeated was under way. Nobody can
    #: tell whether it ran, so nobody may send it again: no policy saves the program.
    DIED_UNREPEATABLE = "gateway died, request may not be repeated"
    #: A server gave no usable answer to a request that may not be repeated.
    LOST_UNREPEATABLE = "answer lost, request may not be repeated"
    #: The gateway died; the caller may ask again, and found nobody in time.
    DIED_REPEATABLE = "gateway died, caller came back to nobody"
    #: No tenant held the caller's key.
    KEY_UNKNOWN = "key unknown"
    #: The tenant's limit had no room, and the program did not come again in time.
    LIMIT = "refused by its tenant's limit"
    #: The configuration was too old to tell whether the key still holds.
    AGE = "refused for the configuration's age"
    #: The servers were full, and the program did not find room when it came again.
    ROOM = "refused for want of room"
    #: The gateway refused: not run.
    REFUSED = "refused as not run"
    #: No server answered a request that may be repeated within its time.
    TIMED_OUT = "no answer in time, request may be repeated"
    #: The gateway broke a stream off.
    BROKEN_OFF = "answer broken off"
    #: The connection ended before the answer did, without a fault of its caller.
    CONNECTION_ENDED = "connection ended before its answer"
    #: A fault of the program.
    FAULT = "fault of the program"
    #: The caller took or sent nothing for too long.
    CALLER_GIVEN_UP = "caller given up"
    #: The caller left.
    CALLER_LEFT = "caller left"

    @property
    def could_be_saved(self) -> bool:
        """Return whether a policy of the gateways might have saved the program."""
        return self not in (
            Cause.DIED_UNREPEATABLE,
            Cause.LOST_UNREPEATABLE,
            Cause.KEY_UNKNOWN,
        )


#: Causes of a gateway's own answers that are told by their status alone.
_REFUSALS = {401: Cause.KEY_UNKNOWN, 429: Cause.LIMIT}
#: Causes that are told by the kind of the last line alone.
_CAUSES = {
    "AnswerBrokenOff": Cause.BROKEN_OFF,
    "CallerLeft": Cause.CALLER_LEFT,
    "CallerGivenUp": Cause.CALLER_GIVEN_UP,
    "InternalFault": Cause.FAULT,
}
#: Reasons of ``ConnectionEnded`` that lie with the caller or its way here.
_LEFT = {ConnectionEndReason.LEFT_WHILE_WRITING, ConnectionEndReason.WRITE_FAILED}


class Attempt(NamedTuple):
    """One attempt of a caller, as a log tells it.

    :param ended_s: when it ended, at the latest with its gateway's process; None if it is
        still under way where the log ends.
    :param end: the line of its end; empty if its gateway died.
    :param tenant: whose it was; empty if untold.
    :param finish_s: when its program should have been over; None if untold.
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


class FailedProgram(NamedTuple):
    """A program that failed, and the attempt that ended it."""

    cause: Cause
    attempt: Attempt


def read_attempts(lines: Iterable[dict[str, Any]]) -> list[Attempt]:
    """Return the attempts of programs, in the order in which they came.

    :param lines: those of one gateway in the order in which it wrote them.
    """
    found: dict[str, Attempt] = {}
    open_at: dict[str, set[str]] = defaultdict(set)
    seen_s: dict[str, float] = {}
    for line in lines:
        attempt_id = line.get("attempt", "")
        node = line["node"]
        if line["kind"] == "ProcessChanged" and line["change"] == "started":
            for lost_id in open_at.pop(node, ()):
                found[lost_id] = found[lost_id]._replace(ended_s=seen_s[node])
        seen_s[node] = line["time"]
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
            open_at[node].add(attempt_id)
        elif line["kind"] in _ENDS and attempt_id in found:
            found[attempt_id] = found[attempt_id]._replace(ended_s=line["time"], end=line)
            open_at[node].discard(attempt_id)
    return sorted(found.values(), key=lambda attempt: attempt.begun_s)


def _finish_s(line: dict[str, Any]) -> float | None:
    finish_in_s = line.get("finish_in")
    return line["time"] + finish_in_s if finish_in_s is not None else None


def cause_of(attempt: Attempt) -> Cause | None:
    """Return why an attempt failed; None if it did not, or ended as its program had to."""
    is_repeatable = attempt.kind != "mutating"
    if attempt.ended_s is None:
        return None
    if not attempt.end:
        return Cause.DIED_REPEATABLE if is_repeatable else Cause.DIED_UNREPEATABLE
    kind, status = attempt.end["kind"], attempt.end.get("status", 0)
    if kind in _CAUSES:
        return _CAUSES[kind]
    if kind == "ConnectionEnded":
        has_left = attempt.end.get("reason") in _LEFT
        return Cause.CALLER_LEFT if has_left else Cause.CONNECTION_ENDED
    if kind == "AttemptAnswered":
        return None
    if status in _REFUSALS:
        return _REFUSALS[status]
    if status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return None
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        return _cause_of_unavailable(attempt.end.get("reason", ""))
    return Cause.TIMED_OUT if is_repeatable else Cause.LOST_UNREPEATABLE


def _cause_of_unavailable(reason: str) -> Cause:
    if reason.startswith(TOO_OLD):
        return Cause.AGE
    return Cause.ROOM if reason.startswith(NO_CAPACITY) else Cause.REFUSED


def failed_programs(attempts: list[Attempt]) -> list[FailedProgram]:
    """Return the programs of which nothing was heard after an attempt had failed.

    A program that was idle when its gateway died and never came back looks like one that
    was over, and is not among them.
    """
    # Attempts come in the order of their time, so each program's last one stays.
    begun_last_s = {attempt.program_id: attempt.begun_s for attempt in attempts}
    severity = list(Cause)
    failed: dict[str, FailedProgram] = {}
    for attempt in attempts:
        cause = cause_of(attempt)
        if cause is None or attempt.ended_s is None:
            continue
        if begun_last_s[attempt.program_id] > attempt.ended_s:
            continue
        known = failed.get(attempt.program_id)
        if known is None or severity.index(cause) < severity.index(known.cause):
            failed[attempt.program_id] = FailedProgram(cause, attempt)
    return sorted(failed.values(), key=lambda one: one.attempt.begun_s)


class LateProgram(NamedTuple):
    """A program that ended after its time, and what it spent most of its time on.

    :param late_s: seconds beyond its time.
    :param spent_s: seconds by what they were spent on, most first.
    """

    program_id: str
    tenant: str
    begun_s: float
    late_s: float
    spent_s: dict[str, float]


def late_programs(attempts: list[Attempt]) -> list[LateProgram]:
    """Return the programs whose last attempt was answered after their time.

    Sub-agents run side by side, so the times of one program may add up to more than it took.
    """
    by_program: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in attempts:
        by_program[attempt.program_id].append(attempt)
    found: list[LateProgram] = []
    for program_id, own in by_program.items():
        finish_s, last = own[0].finish_s, own[-1]
        if finish_s is None or last.ended_s is None or not _is_answered(last):
            continue
        if last.ended_s > finish_s:
            late_s = last.ended_s - finish_s
            begun_s = own[0].begun_s
            found.append(LateProgram(program_id, last.tenant, begun_s, late_s, _spent_s(own)))
    return sorted(found, key=lambda one: one.begun_s)


def _is_answered(attempt: Attempt) -> bool:
    return attempt.end.get("kind") == "AttemptAnswered"


def _spent_s(attempts: list[Attempt]) -> dict[str, float]:
    """Return what a program's attempts spent their time on, most first."""
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


class RoomHolders(NamedTuple):
    """Who had the room that programs were refused for.

    :param refused: new programs that were refused, by tenant.
    :param holders: the same refusals, by the tenant with most programs admitted then.
    :param scarce: the same, by what was lacking.
    """

    refused: Counter[str]
    holders: Counter[str]
    scarce: Counter[str]


def room_holders(lines: Iterable[dict[str, Any]]) -> RoomHolders:
    """Return who was refused for want of room, and who had it."""
    found = RoomHolders(Counter(), Counter(), Counter())
    for line in lines:
        if line["kind"] == "RoomDecided" and not line["admitted"]:
            found.refused[line["tenant"]] += 1
            found.holders[line["holder"] or "nobody yet"] += 1
            found.scarce[line["scarce"]] += 1
    return found


#: Tenants that are listed beside refusals for want of room.
MOST_TENANTS_LISTED = 5


def _list_room(found: RoomHolders) -> None:
    if not found.refused:
        return
    click.echo(f"{found.refused.total():5d} new programs refused for want of room")
    for title, counts in zip(("of", "while most was held by", "lacking"), found, strict=True):
        listed = counts.most_common(MOST_TENANTS_LISTED)
        click.echo(f"      {title} " + ", ".join(f"{name} {count}" for name, count in listed))


@click.command()
@click.option("--late", is_flag=True, help="List the programs that were late instead.")
@click.argument("logs", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path))
@click.option("--output", type=click.Choice(["text", "json"]), default="text")
def failures(logs: tuple[Path, ...], output: str, late: bool) -> None:
    """List the programs that failed, by what ended them, or those that were late.

    LOGS are files of decision lines, of all gateways, plain or gzipped. For each cause it
    is said whether a policy might have saved the program.
    """
    lines = [line for path in logs for line in read_lines(path)]
    attempts = read_attempts(lines)
    if late:
        _list_late(late_programs(attempts), output)
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
        saved = "might be saved" if cause.could_be_saved else "could not be saved"
        click.echo(f"{count:5d} {cause} ({saved})")
    _list_room(room_holders(lines))


def _list_late(programs: list[LateProgram], output: str) -> None:
    if output == "json":
        for one in programs:
            click.echo(json.dumps(one._asdict()))
        return
    for one in programs:
        spent = ", ".join(f"{what} {seconds:.2f} s" for what, seconds in one.spent_s.items())
        click.echo(
            f"{one.begun_s:.3f} {one.program_id} {one.tenant} {one.late_s:.2f} s late: {spent}"
        )
    most = Counter(next(iter(one.spent_s), "") for one in programs)
    for what, count in most.most_common():
        click.echo(f"{count:5d} spent most on {what}")
