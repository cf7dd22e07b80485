"""Random schedules of several owners and three replicas of one log.

Every entry contains a digest of the log to which it was appended, so a log that mixes entries of
different owners is detected. An entry that any owner found chosen must stay in the log of every
later owner.
"""

from hypothesis import given
from hypothesis import strategies as st

from features.support.schedules import derandomized
from yarrowwall.hashing import digest
from yarrowwall.messages.journal import (
    Append,
    Appended,
    Ballot,
    BallotRefused,
    Prepare,
    Promise,
    ReplicaBehind,
)
from yarrowwall.standalone.core.journal.proposer import (
    ProgramLog,
    ProposerPhase,
    ReplicaAddress,
    ReplicaGroups,
    ReplicaMessage,
)
from yarrowwall.standalone.core.journal.replica import JournalReplica

NAMES = ("a", "b", "c")
OWNERS = 3
MAX_OWNERS = 8


class JournalSchedule:
    """One run; each step is chosen by a number."""

    def __init__(self) -> None:
        self.replicas = {name: JournalReplica(name) for name in NAMES}
        group = tuple(ReplicaAddress(name, name, name) for name in NAMES)
        self.groups = ReplicaGroups(1, (group,))
        self.owners: list[ProgramLog] = []
        self.in_flight: list[tuple[int, str, object]] = []
        self.chosen: list[bytes] = []
        self.entries_made = 0

    def step(self, choice: int) -> None:
        """Deliver, lose or repeat a message, start an owner, append, or retransmit."""
        action, detail = choice % 12, choice // 12
        if action < 7 and self.in_flight:
            self._deliver(detail, keep=False)
        elif action == 7 and self.in_flight:
            self._deliver(detail, keep=True)
        elif action == 8 and self.in_flight:
            self._cut_off(NAMES[detail % len(NAMES)], others=detail % 2 == 0)
        elif action == 9 and len(self.owners) < MAX_OWNERS:
            self._start_owner(detail)
        elif self.owners:
            self._act(detail % len(self.owners), append=action == 10)

    def _cut_off(self, name: str, others: bool) -> None:
        """Lose what is in flight to and from a replica, or to and from the others."""
        self.in_flight = [item for item in self.in_flight if (item[1] == name) == others]

    def _start_owner(self, detail: int) -> None:
        counter = len(self.owners) // OWNERS + 1
        ballot = Ballot(counter, f"{detail % OWNERS}-{len(self.owners)}")
        self.owners.append(ProgramLog("p", self.groups, ballot))
        self._send(len(self.owners) - 1, self.owners[-1].prepare())

    def _send(self, owner: int, messages: list[ReplicaMessage]) -> None:
        self.in_flight += [(owner, message.node_id, message.message) for message in messages]

    def _act(self, number: int, append: bool) -> None:
        owner = self.owners[number]
        if append and owner.phase is ProposerPhase.LEADING:
            self.entries_made += 1
            seen = digest(*(entry.decode() for entry in owner.entries))
            self._send(number, owner.append([f"{seen}/{self.entries_made}".encode()]))
        else:
            self._send(number, owner.retransmit())

    def _deliver(self, detail: int, keep: bool) -> None:
        # Mostly one of the latest messages, so that owners make progress; sometimes any other.
        window = len(self.in_flight) if detail % 8 == 0 else min(6, len(self.in_flight))
        position = -1 - detail // 8 % window
        number, name, message = self.in_flight[position]
        if not keep:
            del self.in_flight[position]
        if isinstance(message, Prepare | Append):
            self._deliver_to_replica(number, name, message)
        else:
            self._deliver_to_owner(number, name, message)

    def _deliver_to_replica(self, number: int, name: str, message: Prepare | Append) -> None:
        replica = self.replicas[name]
        handle = replica.handle_prepare if isinstance(message, Prepare) else replica.handle_append
        result = handle(message)
        self.in_flight.append((number, name, result.answer))

    def _deliver_to_owner(self, number: int, name: str, message: object) -> None:
        owner = self.owners[number]
        match message:
            case Promise():
                self._send(number, owner.handle_promise(message))
                self._check_whole(owner)
            case Appended():
                owner.handle_appended(message)
            case ReplicaBehind():
                self._send(number, owner.handle_behind(message, name))
            case BallotRefused():
                owner.handle_refused(message)
        self._check_chosen(owner)

    def _check_whole(self, owner: ProgramLog) -> None:
        """Check that each entry follows the log to which it was appended."""
        for position, entry in enumerate(owner.entries):
            before = digest(*(earlier.decode() for earlier in owner.entries[:position]))
            assert entry.decode().startswith(before), "entries of different logs are mixed"

    def _check_chosen(self, owner: ProgramLog) -> None:
        """Check that chosen entries are never replaced."""
        chosen = owner.entries[: owner.chosen]
        common = min(len(chosen), len(self.chosen))
        assert chosen[:common] == self.chosen[:common], "a chosen entry was replaced"
        if len(chosen) > len(self.chosen):
            self.chosen = chosen


def run_schedules(count: int) -> None:
    """Run a number of random schedules, the same ones every time.

    :raises AssertionError: with the shortest schedule that breaks an invariant.
    """

    @derandomized(count)
    @given(st.lists(st.integers(0, 12 * 512 - 1), min_size=40, max_size=220))
    def run(choices: list[int]) -> None:
        schedule = JournalSchedule()
        for choice in choices:
            schedule.step(choice)

    run()
