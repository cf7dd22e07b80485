"""What programs cost a journal replica: disk, memory and processor time."""

import gc
import os
import tempfile
import time
from pathlib import Path

import click

from yarrowwall.core.journal.replica import JournalReplica
from yarrowwall.messages.codec import encode
from yarrowwall.messages.entries import (
    CallAccepted,
    CallDispatched,
    CallFinished,
    ChatMessage,
    Priority,
    ProgramOpened,
)
from yarrowwall.messages.journal import Append, Ballot
from yarrowwall.storage.segments import SegmentStore

_BALLOT = Ballot(1, "node-00000#00000000000000000001")
_BYTES_PER_TOKEN = 4


def _program_entries(name: str, calls: int, tokens_per_call: int) -> list[list[bytes]]:
    """Return the appends of one program: two a call."""
    question = "q" * (tokens_per_call * _BYTES_PER_TOKEN // 2)
    answer = "a" * (tokens_per_call * _BYTES_PER_TOKEN // 2)
    appends: list[list[bytes]] = [[encode(ProgramOpened(name, "t", "d", 10**6, None, 1.0))]]
    for number in range(1, calls + 1):
        accepted = CallAccepted(
            name, number, "0" * 32, [ChatMessage("user", question)], "m", 100,
            Priority.ROUTINE, False, 1000, 1.0,
        )  # fmt: skip
        dispatched = CallDispatched(name, number, 1, "engine-1", "127.0.0.1:1", True, 1.0)
        finished = CallFinished(name, number, 1, answer, "stop", 10, 10, 10, 1.0)
        appends.append([encode(accepted), encode(dispatched)])
        appends.append([encode(finished)])
    return appends


def resident_bytes() -> int:
    """Return the memory this process has in use."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


@click.command("journal-cost")
@click.option("--programs", default=2000, show_default=True)
@click.option("--calls", default=5, show_default=True, help="Calls of each program.")
@click.option("--tokens", default=200, show_default=True, help="Tokens each call adds.")
def journal_cost(programs: int, calls: int, tokens: int) -> None:
    """Measure a replica with so many programs in its memory and on its disk."""
    replica = JournalReplica("replica")
    appends = [_program_entries(f"zone.p{n:032d}", calls, tokens) for n in range(programs)]
    gc.collect()
    resident = resident_bytes()
    records = []
    started = time.process_time()
    for number, program in enumerate(appends):
        position = 0
        for entries in program:
            request = Append(f"zone.p{number:032d}", _BALLOT, position, entries, position, 1)
            records.append(replica.handle_append(request).record)
            position += len(entries)
    processor = time.process_time() - started
    count = len(records)
    with tempfile.TemporaryDirectory() as folder:
        store = SegmentStore(Path(folder))
        started = time.process_time()
        store.append([record for record in records if record is not None])
        writing = time.process_time() - started
        size = sum(path.stat().st_size for path in Path(folder).iterdir())
    del records
    gc.collect()
    history = calls * tokens * _BYTES_PER_TOKEN
    held = sum(len(body) for program in appends for part in program for body in part)
    grown = resident_bytes() - resident + held
    click.echo(f"history of a program          {history:>10} bytes")
    click.echo(f"disk a program                {size / programs:>10.0f} bytes")
    click.echo(f"disk a call                   {size / programs / calls:>10.0f} bytes")
    click.echo(f"memory a program (estimate)   {grown / programs:>10.0f} bytes")
    click.echo(f"handling an append            {processor / count * 1e6:>10.1f} us")
    click.echo(f"encoding and writing a record {writing / count * 1e6:>10.1f} us")
