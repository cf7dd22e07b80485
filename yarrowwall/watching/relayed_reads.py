"""Reads that neighbours forward to store readers while no reader can be reached directly."""

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

#: Seconds without a direct answer of any reader, and seconds without a healthy reader, after which
#: neighbours are asked. Both are longer than a reader without the store takes to say so and than
#: the next reader takes to answer, and short enough to verify the configuration before it expires.
NO_DIRECT_ANSWER_SECONDS = 1.0
NO_HEALTHY_READER_SECONDS = 0.2
#: Seconds between two probes while no neighbour returns an answer; doubled up to the maximum.
PROBE_PAUSE_SECONDS = 0.5
MAX_PROBE_PAUSE_SECONDS = 2.0
#: Seconds between two relayed reads of a kind that is read with short waits, such as the
#: configuration, and of any other kind. Relayed reads never wait at the reader, so they don't hold
#: one of the neighbour's forwarding slots. The short pause keeps the configuration younger than the
#: age at which a gateway queries the store itself.
SHORT_PAUSE_SECONDS = 0.3
PAUSE_SECONDS = 1.0

#: Names of the two paths to readers in the log.
_DIRECT = "readers/direct"
_RELAYED = "readers/relayed"


class RequestForwarder(Protocol):
    """Sends requests to machines through neighbours."""

    def call(self, address: str, message: object) -> object:
        """Return the reply of the machine at an address.

        :raises LinkDownError: if the machine does not answer the neighbours either.
        :raises NoNeighbourError: if no neighbour forwards the request.
        """


class RelayedReadOutcome(StrEnum):
    """Outcome of a relayed read."""

    ANSWERED = "answered"
    #: The reader answered that it cannot reach the store.
    OUT_OF_CONTACT = "out_of_contact"
    #: The reader did not answer the neighbour, or there was no reader to ask.
    NO_ANSWER = "no_answer"
    #: No neighbour forwarded the request.
    NO_NEIGHBOUR = "no_neighbour"


class RelayedReads:
    """Asks readers through neighbours, and decides when that is worthwhile.

    :param direct: the readers, with the failures of direct requests to them.
    :param now: the monotonic clock.
    :ivar is_active: whether the last relayed read was answered and no reader has become healthy
        since.
    :ivar outcomes: number of relayed reads by outcome.
    """

    def __init__(self, direct: ReaderSelection, log: DecisionLog, now: Callable[[], float]) -> None:
        self._direct = direct
        self._relayed = direct.with_separate_failures()
        self._log = log
        self._now = now
        self._forwarder: RequestForwarder | None = None
        self._direct_answer_s: float | None = None
        self._unhealthy_since_s = now()
        self._has_healthy_reader = False
        self._next_probe_s = 0.0
        self._failed_probes = 0
        self._down: set[str] = set()
        self.is_active = False
        self.outcomes: Counter[str] = Counter()

    def set_forwarder(self, forwarder: RequestForwarder) -> None:
        """Set the forwarder; without one no read is relayed."""
        self._forwarder = forwarder

    # Activation

    def note_direct_answer(self) -> None:
        """Note that a reader answered directly, with whatever status."""
        self._direct_answer_s = self._now()

    def note_no_healthy_reader(self) -> None:
        """Note that no directly reachable reader is healthy any more."""
        self._has_healthy_reader = False
        self._unhealthy_since_s = self._now()

    def note_healthy_reader(self) -> None:
        """Note that a directly reachable reader is healthy: stop relaying reads."""
        self._has_healthy_reader = True
        self.is_active = False
        self._failed_probes = 0
        self._next_probe_s = 0.0
        self._log_change(_DIRECT, is_up=True)
        self._log_change(_RELAYED, is_up=True)

    def is_probe_due(self) -> bool:
        """Return whether to probe for a neighbour that reaches a reader.

        Never before a reader has answered directly: right after a start the readers may be
        starting too.
        """
        if (
            self._forwarder is None
            or self._direct_answer_s is None
            or self._has_healthy_reader
            or self.is_active
        ):
            return False
        due_s = max(
            self._direct_answer_s + NO_DIRECT_ANSWER_SECONDS,
            self._unhealthy_since_s + NO_HEALTHY_READER_SECONDS,
        )
        return self._now() >= max(due_s, self._next_probe_s)

    # Reads

    def probe(self, request: WatchObjects) -> None:
        """Send a relayed read to find out whether a reader can be reached this way."""
        # Counted from the start of this probe, which takes up to 0.7 s, so that the next health
        # check does not start another one at once.
        pause_s = exponential_backoff_s(
            PROBE_PAUSE_SECONDS, MAX_PROBE_PAUSE_SECONDS, self._failed_probes
        )
        self._failed_probes += 1
        self._next_probe_s = self._now() + pause_s
        self.ask(request)

    def ask(self, request: ListObjects | WatchObjects) -> ObjectsReply | None:
        """Return a reader's answer; return None and stop relaying if there is no usable one."""
        if self._forwarder is None:
            return None
        reader = next(iter(self._relayed.candidates(self._now())), None)
        if reader is None:
            self._deactivate(RelayedReadOutcome.NO_ANSWER, "all readers are skipped after failures")
            return None
        try:
            reply = self._forwarder.call(reader.address, request)
        except LinkDownError:
            self._relayed.note_no_answer(reader.node_id, self._now())
            self._deactivate(
                RelayedReadOutcome.NO_ANSWER, f"{reader.node_id} does not answer through neighbours"
            )
            return None
        except NoNeighbourError as error:
            self._deactivate(
                RelayedReadOutcome.NO_NEIGHBOUR, f"no neighbour forwards the request: {error}"
            )
            return None
        return self._handle_reply(reader, reply)

    def _handle_reply(self, reader: Member, reply: object) -> ObjectsReply | None:
        self._direct.note_answered_relayed(reader.node_id, self._now())
        if not isinstance(reply, ObjectsReply):
            self._relayed.note_no_answer(reader.node_id, self._now())
            self._deactivate(
                RelayedReadOutcome.NO_ANSWER,
                f"unexpected reply from {reader.node_id}: {reply!r:.100}",
            )
            return None
        if reply.status is ObjectsStatus.OUT_OF_CONTACT:
            self._relayed.note_out_of_contact(reader.node_id, self._now())
            reason = f"{reader.node_id} cannot reach the store"
            self._deactivate(RelayedReadOutcome.OUT_OF_CONTACT, reason)
            return None
        self._relayed.note_answered(reader.node_id)
        self._activate(reader)
        return reply

    def _activate(self, reader: Member) -> None:
        self.outcomes[RelayedReadOutcome.ANSWERED.value] += 1
        self._failed_probes = 0
        # A direct reader may have become healthy while this answer was under way.
        if self.is_active or self._has_healthy_reader:
            return
        self.is_active = True
        self._log_change(
            _DIRECT, is_up=False, reason=f"{reader.node_id} answers through neighbours"
        )
        self._log_change(_RELAYED, is_up=True)

    def _deactivate(self, outcome: RelayedReadOutcome, reason: str) -> None:
        self.outcomes[outcome.value] += 1
        if self.is_active:
            self.is_active = False
            self._log_change(_RELAYED, is_up=False, reason=reason)

    def _log_change(self, dependency: str, is_up: bool, reason: str = "") -> None:
        """Log a path to the readers that was lost or has recovered."""
        if is_up != (dependency in self._down):
            return
        self._down ^= {dependency}
        self._log.write(decisions.DependencyChanged(dependency, is_up, reason))
