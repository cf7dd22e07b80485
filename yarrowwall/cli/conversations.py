"""Conversations that went on and reached no server, by what refused them, from logs."""

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


class Refused(StrEnum):
    """Why a turn that goes on from an earlier one was not sent."""

    #: Every group that may keep the turn before says that it has none.
    UNKNOWN = "the turn before is unknown"
    #: Too few replicas answered to tell.
    UNREADABLE = "the turns before could not be read"
    #: The turns before were read; there was no room for the program.
    ROOM = "refused for want of room, its turns were read"
    #: The turns before were read; it was refused for another reason.
    OTHER = "refused for another reason, its turns were read"


class UnservedProgram(NamedTuple):
    """A program that went on from a turn and reached no server.

    :param tenant: whose it is; empty if untold.
    :param begun_s: when its first attempt came.
    :param ended_s: when its last one was refused.
    :param refused: its refused attempts, by why.
    :param reasons: the same, by the reason that was told.
    """

    program_id: str
    tenant: str
    begun_s: float
    ended_s: float
    refused: Counter[Refused]
    reasons: Counter[str]

    @property
    def tries(self) -> int:
        """Return how often it was refused."""
        return self.refused.total()


class _Turn:
    """An attempt that goes on from a turn, as far as its log was read."""

    def __init__(self, line: dict[str, Any]) -> None:
        self.program_id: str = line["program"]
        self.tenant: str = line.get("tenant", "")
        self.begun_s: float = line["time"]
        self.ended_s: float = line["time"]
        self.is_read = False
        self.is_sent = False
        self.status = 0
        self.reason = ""

    def take(self, line: dict[str, Any]) -> None:
        """Take in a further line of the attempt."""
        match line["kind"]:
            case "ChainLookedUp":
                self.is_read = line["outcome"] in ("cached", "fetched")
            case "AttemptSent":
                self.is_sent = True
            case "AttemptRefused":
                self.ended_s, self.status = line["time"], line["status"]
                self.reason = line["reason"]

    @property
    def program(self) -> tuple[str, str]:
        """Return its program, whose id is one of its tenant's."""
        return self.tenant, self.program_id

    @property
    def refused(self) -> Refused:
        """Return why it was refused."""
        if self.status == HTTPStatus.NOT_FOUND:
            return Refused.UNKNOWN
        if not self.is_read:
            return Refused.UNREADABLE
        return Refused.ROOM if self.reason.startswith(NO_CAPACITY) else Refused.OTHER


def unserved_programs(lines: Iterable[dict[str, Any]]) -> list[UnservedProgram]:
    """Return the programs that went on from a turn and reached no server, most tries first.

    :param lines: those of one gateway in the order in which it wrote them.
    """
    turns: dict[str, _Turn] = {}
    for line in lines:
        attempt_id = line.get("attempt", "")
        if line["kind"] == "AttemptAdmitted" and line.get("program") and line.get("previous"):
            turns[attempt_id] = _Turn(line)
        elif attempt_id in turns:
            turns[attempt_id].take(line)
    served = {turn.program for turn in turns.values() if turn.is_sent}
    by_program: dict[tuple[str, str], list[_Turn]] = {}
    for turn in turns.values():
        if turn.program not in served and turn.status:
            by_program.setdefault(turn.program, []).append(turn)
    found = [_unserved(own) for own in by_program.values()]
    return sorted(found, key=lambda program: -program.tries)


def _unserved(turns: list[_Turn]) -> UnservedProgram:
    return UnservedProgram(
        turns[0].program_id,
        turns[0].tenant,
        min(turn.begun_s for turn in turns),
        max(turn.ended_s for turn in turns),
        Counter(turn.refused for turn in turns),
        Counter(turn.reason for turn in turns),
    )


@click.command()
@click.argument("logs", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path))
@click.option("--output", type=click.Choice(["text", "json"]), default="text")
def conversations(logs: tuple[Path, ...], output: str) -> None:
    """List the programs that went on from an earlier turn and reached no server.

    LOGS are files of decision lines, of all gateways, plain or gzipped. It is told whether the
    turns before were unknown, could not be read, or were read and the turn was refused.
    """
    programs = unserved_programs(line for path in logs for line in read_lines(path))
    for program in programs:
        if output == "json":
            click.echo(json.dumps(program._asdict()))
        else:
            click.echo(_described(program))
    if output == "text":
        total: Counter[Refused] = sum((one.refused for one in programs), Counter())
        for refused, count in total.most_common():
            click.echo(f"{count:5d} tries: {refused}")


def _described(program: UnservedProgram) -> str:
    causes = ", ".join(f"{refused} {count}" for refused, count in program.refused.most_common())
    lasted_s = program.ended_s - program.begun_s
    tries = f"{program.tries} tries in {lasted_s:.1f} s"
    return f"{program.begun_s:.3f} {program.program_id} {tries}: {causes}"
