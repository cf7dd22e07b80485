"""Read, change and compare-and-swap of one object of the platform.

An answer can be lost after the write took effect. Every write therefore puts
its operation id into the object, and the transaction reads the object back
until it knows. The expected version makes a repeated write harmless.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from yarrowwall.messages.peers import Document
from yarrowwall.standalone.core.effects import ReadPlatform, WritePlatform
from yarrowwall.standalone.core.events import PlatformRead, PlatformWritten, WriteOutcome
from yarrowwall.standalone.core.exceptions import ConfigurationError
from yarrowwall.standalone.core.limits import Limits
from yarrowwall.standalone.core.outbox import Outbox

#: Seconds after which a transaction gives up on the platform.
TRANSACTION_DEADLINE = 15.0


class TransactionOutcome(StrEnum):
    """How a transaction ended."""

    DONE = "done"
    #: The change was refused by its own rules; nothing was written.
    REJECTED = "rejected"
    #: The platform did not answer and nothing was sent to be written.
    NOT_RUN = "not_run"
    #: A write was sent and no answer or read tells its fate.
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class TransactionResult:
    """The end of a transaction.

    :param document: the object that holds the change, if done.
    :param error: why it was rejected.
    """

    outcome: TransactionOutcome
    document: Document | None = None
    error: ConfigurationError | None = None


class Transaction:
    """One compare-and-swap.

    :param change: returns the new body; None leaves the object as it is;
        raises :class:`ConfigurationError` to reject.
    :param includes: tells whether a body already holds the operation.
    :param done: called once with the result.
    """

    def __init__(
        self,
        operation_id: str,
        name: str,
        change: Callable[[Document | None], bytes | None],
        includes: Callable[[bytes], bool],
        done: Callable[[TransactionResult], None],
        outbox: Outbox,
        deadline: float,
    ) -> None:
        self.operation_id = operation_id
        self.deadline = deadline
        self._name = name
        self._change = change
        self._includes = includes
        self._done = done
        self._outbox = outbox
        self._may_have_written = False
        self.is_finished = False

    def read(self) -> None:
        """Read the object; the first step, and the step after every doubt."""
        self._outbox.emit(ReadPlatform(self.operation_id, self._name))

    def handle_read(self, event: PlatformRead) -> bool:
        """Change and write what was read.

        :returns: whether to read again later.
        """
        if self.is_finished:
            return False
        if not event.available:
            return True
        document = event.document
        if document is not None and self._includes(document.body):
            self._finish(TransactionResult(TransactionOutcome.DONE, document))
            return False
        try:
            body = self._change(document)
        except ConfigurationError as error:
            self._reject(error)
            return False
        if body is None:
            self._finish(TransactionResult(TransactionOutcome.DONE, document))
            return False
        version = document.version if document else 0
        self._may_have_written = True
        self._outbox.emit(WritePlatform(self.operation_id, self._name, version, body))
        return False

    def _reject(self, error: ConfigurationError) -> None:
        """End as rejected; an earlier write of unknown fate cannot succeed any more.

        The object has moved past the version that write expected, or the
        change is refused on the very version, and does not hold the operation.
        """
        self._finish(TransactionResult(TransactionOutcome.REJECTED, error=error))

    def handle_written(self, event: PlatformWritten) -> bool:
        """Take the answer to a write.

        :returns: whether to read again later, to learn what happened.
        """
        if self.is_finished:
            return False
        if event.outcome is WriteOutcome.DONE:
            self._finish(TransactionResult(TransactionOutcome.DONE, event.document))
            return False
        return True

    def give_up(self) -> None:
        """End without an answer from the platform."""
        if self.is_finished:
            return
        unknown = self._may_have_written
        outcome = TransactionOutcome.UNKNOWN if unknown else TransactionOutcome.NOT_RUN
        self._finish(TransactionResult(outcome))

    def _finish(self, result: TransactionResult) -> None:
        self.is_finished = True
        self._done(result)


class TransactionTable:
    """The transactions of a node in progress, by operation id."""

    def __init__(self, limits: Limits, outbox: Outbox, set_timer: Callable[[str, float], None]):
        self._limits = limits
        self._outbox = outbox
        self._set_timer = set_timer
        self._transactions: dict[str, Transaction] = {}

    def begin(
        self,
        now: float,
        operation_id: str,
        name: str,
        change: Callable[[Document | None], bytes | None],
        includes: Callable[[bytes], bool],
        done: Callable[[TransactionResult], None],
    ) -> None:
        """Start a transaction."""
        deadline = now + TRANSACTION_DEADLINE
        transaction = Transaction(
            operation_id, name, change, includes, done, self._outbox, deadline
        )
        self._transactions[operation_id] = transaction
        transaction.read()
        # The driver answers every read and write; the timer is for the rest.
        self._set_timer(operation_id, deadline)

    def handle_read(self, now: float, event: PlatformRead) -> None:
        """Hand a read's answer to its transaction."""
        transaction = self._transactions.get(event.operation_id)
        if transaction is not None:
            self._after(now, transaction, transaction.handle_read(event))

    def handle_written(self, now: float, event: PlatformWritten) -> None:
        """Hand a write's answer to its transaction."""
        transaction = self._transactions.get(event.operation_id)
        if transaction is not None:
            self._after(now, transaction, transaction.handle_written(event))

    def _after(self, now: float, transaction: Transaction, again: bool) -> None:
        if transaction.is_finished:
            self._transactions.pop(transaction.operation_id, None)
        elif again:
            self._set_timer(transaction.operation_id, now + self._limits.platform_retry)

    def handle_timer(self, now: float, operation_id: str) -> None:
        """Read again, or give up after the deadline."""
        transaction = self._transactions.get(operation_id)
        if transaction is None:
            return
        if now >= transaction.deadline:
            del self._transactions[operation_id]
            transaction.give_up()
            return
        self._set_timer(operation_id, transaction.deadline)
        transaction.read()
