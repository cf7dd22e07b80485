"""Read, change and compare-and-swap of one object in the platform's store.

An answer can be lost after the write took effect. Every write therefore puts
its operation id into the object, and after a failure the transaction reads the
object again until the outcome is clear. The expected version makes a repeated
write harmless.
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

#: Seconds after which a transaction ends without an answer of the platform.
TRANSACTION_DEADLINE = 15.0


class TransactionOutcome(StrEnum):
    """Outcome of a transaction."""

    DONE = "done"
    #: The change function rejected the object; nothing was written.
    REJECTED = "rejected"
    #: The platform did not answer and no write was sent.
    NOT_RUN = "not_run"
    #: A write was sent, and neither its answer nor a later read arrived.
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class TransactionResult:
    """Result of a transaction.

    :param document: the object with the change, if done.
    :param error: reason of a rejection.
    """

    outcome: TransactionOutcome
    document: Document | None = None
    error: ConfigurationError | None = None


class Transaction:
    """One compare-and-swap.

    :param change: returns the new body, or None to leave the object unchanged;
        raises :class:`ConfigurationError` to reject.
    :param includes: returns whether a body already contains the operation.
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
        """Read the object, at the start and after each failed or unanswered request."""
        self._outbox.emit(ReadPlatform(self.operation_id, self._name))

    def handle_read(self, event: PlatformRead) -> bool:
        """Compute the change from the object read, and write it.

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
        """End as rejected; no earlier write of this transaction can still succeed.

        The object does not contain the operation. Either its version is newer than
        the earlier write expected, or the change is rejected on that version.
        """
        self._finish(TransactionResult(TransactionOutcome.REJECTED, error=error))

    def handle_written(self, event: PlatformWritten) -> bool:
        """Handle the answer to a write.

        :returns: whether to read again later, to learn the outcome.
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
    """A node's transactions in progress, by operation id."""

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
        # The driver answers every read and write; the timer enforces the deadline.
        self._set_timer(operation_id, deadline)

    def handle_read(self, now: float, event: PlatformRead) -> None:
        """Pass the answer to a read to its transaction."""
        transaction = self._transactions.get(event.operation_id)
        if transaction is not None:
            self._after(now, transaction, transaction.handle_read(event))

    def handle_written(self, now: float, event: PlatformWritten) -> None:
        """Pass the answer to a write to its transaction."""
        transaction = self._transactions.get(event.operation_id)
        if transaction is not None:
            self._after(now, transaction, transaction.handle_written(event))

    def _after(self, now: float, transaction: Transaction, again: bool) -> None:
        if transaction.is_finished:
            self._transactions.pop(transaction.operation_id, None)
        elif again:
            self._set_timer(transaction.operation_id, now + self._limits.platform_retry)

    def handle_timer(self, now: float, operation_id: str) -> None:
        """Read again, or end the transaction after its deadline."""
        transaction = self._transactions.get(operation_id)
        if transaction is None:
            return
        if now >= transaction.deadline:
            del self._transactions[operation_id]
            transaction.give_up()
            return
        self._set_timer(operation_id, transaction.deadline)
        transaction.read()
