"""Command that lists continued conversations that reached no server, from logs."""

import json
from collections import Counter
from collections.abc import Iterable
from enum import StrEnum
from http import HTTPStatus
from pathlib import Path
from typing import Any, NamedTuple

import click

from yarrowwall.capacity.admission_client import NO_CAPACITY
from yarrowwall.cli.explain import read_lines


class RefusalCause(StrEnum):
    """Why a turn that continues an earlier one was not sent."""

    #: No group that may store the previous turn has it.
    UNKNOWN = "the turn before is unknown"
    #: Too few replicas answered to determine whether the previous turns exist.
    UNREADABLE = "the turns before could not be read"
    #: The previous turns were read, but the servers had no capacity for the program.
    CAPACITY = "refused for want of room, its turns were read"
    #: The previous turns were read, but the turn was refused for another reason.
    OTHER = "refused for another reason, its turns were read"


class UnservedProgram(NamedTuple):
    """A program that continued from a turn and reached no server.

    :param tenant: name of its tenant; empty if not given.
    :param begun_s: arrival of its first attempt.
    :param ended_s: refusal of its last attempt.
    :param refused: number of its refused attempts by cause.
    :param reasons: number of its refused attempts by logged reason.
    """

    program_id: str
    tenant: str
    begun_s: float
    ended_s: float
    refused: Counter[RefusalCause]
    reasons: Counter[str]

    @property
    def tries(self) -> int:
        """Return the number of refused attempts."""
        return self.refused.total()


class _ContinuedAttempt:
    """An attempt that continues from a turn, as described by its log lines so far."""

    def __init__(self, line: dict[str, Any]) -> None:
        self.program_id: str = line["program"]
        self.tenant: str = line.get("tenant", "")
        self.begun_s: float = line["time"]
        self.ended_s: float = line["time"]
        self.has_previous_turns = False
        self.is_sent = False
        self.status = 0
        self.reason = ""

    def apply(self, line: dict[str, Any]) -> None:
        """Update the state by another line of the attempt."""
        match line["kind"]:
            case "ChainLookedUp":
                self.has_previous_turns = line["outcome"] in ("cached", "fetched")
            case "AttemptSent":
                self.is_sent = True
            case "AttemptRefused":
                self.ended_s, self.status = line["time"], line["status"]
                self.reason = line["reason"]

    @property
    def program(self) -> tuple[str, str]:
        """Return tenant and program id; a program's id is unique only within its tenant."""
        return self.tenant, self.program_id

    @property
    def cause(self) -> RefusalCause:
        """Return why the attempt was refused."""
        if self.status == HTTPStatus.NOT_FOUND:
            return RefusalCause.UNKNOWN
        if not self.has_previous_turns:
            return RefusalCause.UNREADABLE
        return RefusalCause.CAPACITY if self.reason.startswith(NO_CAPACITY) else RefusalCause.OTHER


def unserved_programs(lines: Iterable[dict[str, Any]]) -> list[UnservedProgram]:
    """Return the programs that continued from a turn and reached no server, most attempts first.

    :param lines: log lines; the lines of each gateway must be in their original order.
    """
    attempts: dict[str, _ContinuedAttempt] = {}
    for line in lines:
        attempt_id = line.get("attempt", "")
        if line["kind"] == "AttemptAdmitted" and line.get("program") and line.get("previous"):
            attempts[attempt_id] = _ContinuedAttempt(line)
        elif attempt_id in attempts:
            attempts[attempt_id].apply(line)
    served = {attempt.program for attempt in attempts.values() if attempt.is_sent}
    by_program: dict[tuple[str, str], list[_ContinuedAttempt]] = {}
    for attempt in attempts.values():
        if attempt.program not in served and attempt.status:
            by_program.setdefault(attempt.program, []).append(attempt)
    found = [_unserved_program(program_attempts) for program_attempts in by_program.values()]
    return sorted(found, key=lambda program: -program.tries)


def _unserved_program(attempts: list[_ContinuedAttempt]) -> UnservedProgram:
    return UnservedProgram(
        attempts[0].program_id,
        attempts[0].tenant,
        min(attempt.begun_s for attempt in attempts),
        max(attempt.ended_s for attempt in attempts),
        Counter(attempt.cause for attempt in attempts),
        Counter(attempt.reason for attempt in attempts),
    )


@click.command()
@click.argument("logs", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path))
@click.option("--output", type=click.Choice(["text", "json"]), default="text")
def conversations(logs: tuple[Path, ...], output: str) -> None:
    """List the programs that continued from an earlier turn and reached no server.

    LOGS are files of decision lines of all gateways, plain or gzipped. For each program the
    output states whether the previous turns were unknown, could not be read, or were read and
    the turn was refused.
    """
    programs = unserved_programs(line for path in logs for line in read_lines(path))
    for program in programs:
        if output == "json":
            click.echo(json.dumps(program._asdict()))
        else:
            click.echo(_format_program(program))
    if output == "text":
        total: Counter[RefusalCause] = sum((one.refused for one in programs), Counter())
        for refused, count in total.most_common():
            click.echo(f"{count:5d} tries: {refused}")


def _format_program(program: UnservedProgram) -> str:
    causes = ", ".join(f"{refused} {count}" for refused, count in program.refused.most_common())
    lasted_s = program.ended_s - program.begun_s
    tries = f"{program.tries} tries in {lasted_s:.1f} s"
    return f"{program.begun_s:.3f} {program.program_id} {tries}: {causes}"
