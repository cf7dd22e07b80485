"""Questions to readers that go through a neighbour while none answers this machine directly."""

from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from typing import Protocol

from yarrowwall import decisions
from yarrowwall.backoff import exponential_backoff_s
from yarrowwall.decisions import DecisionLog
from yarrowwall.messages.objects import ListObjects, ObjectsReply, ObjectsStatus, WatchObjects
from yarrowwall.messages.replicated import Member
from yarrowwall.replication.exceptions import LinkDownError, NoNeighbourError
from yarrowwall.watching.reader_selection import ReaderSelection

#: Seconds without an answer of any reader, and without one that is relied on, after which
#: neighbours are asked: longer than a reader without the store takes to say so, and than the next
#: reader takes to answer, yet before the proof of the configuration is too old.
NO_DIRECT_ANSWER_SECONDS = 1.0
NO_HEALTHY_READER_SECONDS = 0.2
#: Seconds between two tries while no neighbour brings an answer, doubled up to the most.
PROBE_PAUSE_SECONDS = 0.5
MAX_PROBE_PAUSE_SECONDS = 2.0
#: Seconds between two questions for a kind by which the age of the configuration is known, and
#: for any other. They don't wait at the reader, so they keep no place at a neighbour; with them a
#: gateway's proof stays younger than the age from which it would ask the store itself.
SHORT_PAUSE_SECONDS = 0.3
PAUSE_SECONDS = 1.0

#: The ways to readers in the log.
_DIRECT = "readers/direct"
_RELAYED = "readers/relayed"


class RequestForwarder(Protocol):
    """Sends requests through neighbours."""

    def call(self, address: str, message: object) -> object:
        """Return a machine's reply.

        :raises LinkDownError: if the machine does not answer its neighbours either.
        :raises NoNeighbourError: if no neighbour passes the request on.
        """


class RelayedReadOutcome(StrEnum):
    """What became of a question that was to go through a neighbour."""

    ANSWERED = "answered"
    #: The reader hears nothing from the store itself.
    OUT_OF_CONTACT = "out_of_contact"
    #: The reader does not answer the neighbour either.
    NO_ANSWER = "no_answer"
    #: No neighbour passed the question on.
    NO_NEIGHBOUR = "no_neighbour"


class RelayedReads:
    """Asks readers through neighbours, and knows whether that is of use now.

    :param direct: the readers and what became of direct questions to them.
    :param now: the monotonic clock.
    :ivar is_active: whether the last question that went this way was answered, and no reader
        has answered directly since.
    :ivar outcomes: how many questions had which outcome.
    """

    def __init__(self, direct: ReaderSelection, log: DecisionLog, now: Callable[[], float]) -> None:
        self._direct = direct
        self._order = direct.with_separate_failures()
        self._log = log
        self._now = now
        self._forwarder: RequestForwarder | None = None
        self._heard_s: float | None = None
        self._unrelied_s = now()
        self._is_relied = False
        self._look_again_s = 0.0
        self._failed_looks = 0
        self._down: set[str] = set()
        self.is_active = False
        self.outcomes: Counter[str] = Counter()

    def set_forwarder(self, forwarder: RequestForwarder) -> None:
        """Take what sends requests through neighbours; without it there is no detour."""
        self._forwarder = forwarder

    # When it is of use

    def note_direct_answer(self) -> None:
        """Note that a reader answered directly, whatever it said."""
        self._heard_s = self._now()

    def note_no_healthy_reader(self) -> None:
        """Note that no reader is relied on from now on."""
        self._is_relied = False
        self._unrelied_s = self._now()

    def note_healthy_reader(self) -> None:
        """Note that a reader is relied on: all questions go directly."""
        self._is_relied = True
        self.is_active = False
        self._failed_looks = 0
        self._look_again_s = 0.0
        self._note(_DIRECT, is_up=True)
        self._note(_RELAYED, is_up=True)

    def is_probe_due(self) -> bool:
        """Return whether to look for a neighbour that reaches a reader.

        Not before a reader has answered once: at a start all readers may be starting too.
        """
        if self._forwarder is None or self._heard_s is None or self._is_relied or self.is_active:
            return False
        unheard_s = max(
            self._heard_s + NO_DIRECT_ANSWER_SECONDS, self._unrelied_s + NO_HEALTHY_READER_SECONDS
        )
        return self._now() >= max(unheard_s, self._look_again_s)

    # Questions

    def probe(self, question: WatchObjects) -> None:
        """Find out whether a reader can be asked this way."""
        # Nobody else looks meanwhile, and an answer takes 0.7 s at most.
        pause_s = exponential_backoff_s(
            PROBE_PAUSE_SECONDS, MAX_PROBE_PAUSE_SECONDS, self._failed_looks
        )
        self._failed_looks += 1
        self._look_again_s = self._now() + pause_s
        self.ask(question)

    def ask(self, question: ListObjects | WatchObjects) -> ObjectsReply | None:
        """Return a reader's answer; None if it is of no use, and the detour is closed then."""
        if self._forwarder is None:
            return None
        reader = next(iter(self._order.candidates(self._now())), None)
        if reader is None:
            self._close(RelayedReadOutcome.NO_ANSWER, "all readers are passed over")
            return None
        try:
            reply = self._forwarder.call(reader.address, question)
        except LinkDownError:
            self._order.note_no_answer(reader.node_id, self._now())
            self._close(RelayedReadOutcome.NO_ANSWER, f"{reader.node_id} answers no neighbour")
            return None
        except NoNeighbourError as error:
            self._close(RelayedReadOutcome.NO_NEIGHBOUR, f"no neighbour passes it on: {error}")
            return None
        return self._judge(reader, reply)

    def _judge(self, reader: Member, reply: object) -> ObjectsReply | None:
        self._direct.note_answered_relayed(reader.node_id, self._now())
        if not isinstance(reply, ObjectsReply):
            self._order.note_no_answer(reader.node_id, self._now())
            self._close(RelayedReadOutcome.NO_ANSWER, f"{reader.node_id} told {reply!r:.100}")
            return None
        if reply.status is ObjectsStatus.OUT_OF_CONTACT:
            self._order.note_out_of_contact(reader.node_id, self._now())
            reason = f"{reader.node_id} hears nothing from the store"
            self._close(RelayedReadOutcome.OUT_OF_CONTACT, reason)
            return None
        self._order.note_answered(reader.node_id)
        self._open(reader)
        return reply

    def _open(self, reader: Member) -> None:
        self.outcomes[RelayedReadOutcome.ANSWERED.value] += 1
        self._failed_looks = 0
        # A reader may have answered directly while this answer was on its way.
        if self.is_active or self._is_relied:
            return
        self.is_active = True
        self._note(_DIRECT, is_up=False, reason=f"{reader.node_id} answers through neighbours")
        self._note(_RELAYED, is_up=True)

    def _close(self, outcome: RelayedReadOutcome, reason: str) -> None:
        self.outcomes[outcome.value] += 1
        if self.is_active:
            self.is_active = False
            self._note(_RELAYED, is_up=False, reason=reason)

    def _note(self, dependency: str, is_up: bool, reason: str = "") -> None:
        """Write a line if a way was lost or is back."""
        if is_up != (dependency in self._down):
            return
        self._down ^= {dependency}
        self._log.write(decisions.DependencyChanged(dependency, is_up, reason))
