"""Runs operators' commands: plans are proposed, confirmed, amended or rejected."""

import json
from collections.abc import Callable

from yarrowwall.messages.peers import Document
from yarrowwall.standalone.core.configuration.commands import (
    AmendPlan,
    ApplyIntents,
    ConfirmPlan,
    OperatorCommand,
    OperatorOutcome,
    OperatorReply,
    RejectPlan,
    ReplaceReplica,
    ShowPlan,
)
from yarrowwall.standalone.core.configuration.documents import DocumentTable
from yarrowwall.standalone.core.configuration.models import (
    CONFIGURATION,
    PLAN_PREFIX,
    SHARD_MAP,
    Configuration,
    Intents,
    Plan,
    ShardMap,
    ShardReplica,
)
from yarrowwall.standalone.core.configuration.plans import (
    append_operation,
    confirmed_configuration,
    describe_change,
    make_plan,
)
from yarrowwall.standalone.core.configuration.transactions import (
    TransactionOutcome,
    TransactionResult,
    TransactionTable,
)
from yarrowwall.standalone.core.effects import ReplyToOperator
from yarrowwall.standalone.core.exceptions import ConfigurationError, StalePlanError
from yarrowwall.standalone.core.journal.reconfiguration import joint_map, parse_map, with_operation
from yarrowwall.standalone.core.outbox import Outbox

_NOT_RUN = "the platform does not answer; nothing was changed"
_UNKNOWN = "the platform did not answer after a write was sent; ask for the plan again"


class UnknownPlanError(ConfigurationError):
    """No plan has the given id."""


def includes_operation(body: bytes, operation_id: str) -> bool:
    """Return whether an object's body lists an operation."""
    return operation_id in json.loads(body).get("operations", [])


def parse_configuration(document: Document | None) -> Configuration:
    """Return the configuration in a document; an empty one without a document."""
    if document is None:
        return Configuration()
    return Configuration.model_validate_json(document.body)


class OperatorCommandRunner:
    """Runs operators' commands against the platform's store.

    :param first_map: shard map of the settings, used until the platform has one.
    """

    def __init__(
        self,
        transactions: TransactionTable,
        documents: DocumentTable,
        outbox: Outbox,
        first_map: ShardMap,
    ) -> None:
        self._first_map = first_map
        self._transactions = transactions
        self._documents = documents
        self._outbox = outbox
        self._awaiting_in_force: dict[str, tuple[int, OperatorReply]] = {}
        self._unanswered: set[str] = set()

    def is_idle(self) -> bool:
        """Return whether every command has got its reply."""
        return not self._unanswered

    def handle(self, now: float, request_id: str, command: OperatorCommand) -> None:
        """Start a command; the reply follows as an effect."""
        self._unanswered.add(request_id)
        match command:
            case ApplyIntents(plan_id, intents):
                self._propose(now, request_id, plan_id, intents)
            case ShowPlan(plan_id):
                self._show(now, request_id, plan_id)
            case ConfirmPlan(plan_id):
                self._confirm(now, request_id, plan_id)
            case AmendPlan(plan_id, new_plan_id, intents):
                self._amend(now, request_id, plan_id, new_plan_id, intents)
            case RejectPlan(plan_id):
                self._reject(now, request_id, plan_id)
            case ReplaceReplica():
                self._replace_replica(now, request_id, command)

    def _reply(self, request_id: str, reply: OperatorReply) -> None:
        self._unanswered.discard(request_id)
        self._outbox.emit(ReplyToOperator(request_id, reply))

    def _reply_failure(self, request_id: str, result: TransactionResult) -> None:
        error = result.error
        if result.outcome is TransactionOutcome.NOT_RUN:
            reply = OperatorReply(OperatorOutcome.NOT_RUN, _NOT_RUN)
        elif result.outcome is TransactionOutcome.UNKNOWN:
            reply = OperatorReply(OperatorOutcome.OUTCOME_UNKNOWN, _UNKNOWN)
        elif isinstance(error, StalePlanError):
            reply = OperatorReply(OperatorOutcome.STALE_PLAN, str(error), changed=error.changed)
        elif isinstance(error, UnknownPlanError):
            reply = OperatorReply(OperatorOutcome.UNKNOWN_PLAN, str(error))
        else:
            reply = OperatorReply(OperatorOutcome.INVALID, str(error))
        self._reply(request_id, reply)

    # Proposing

    def _propose(self, now: float, request_id: str, plan_id: str, intents: Intents) -> None:
        document = self._documents.in_force(CONFIGURATION)
        version = self._documents.version(CONFIGURATION)
        plan = make_plan(plan_id, version, parse_configuration(document), intents)
        plan = plan.model_copy(update={"operations": [request_id]})

        def create(existing: Document | None) -> bytes:
            if existing is not None:
                raise ConfigurationError(f"plan {plan_id} exists")
            return plan.model_dump_json().encode()

        def finish(result: TransactionResult) -> None:
            if result.outcome is TransactionOutcome.DONE:
                self._reply(request_id, OperatorReply(OperatorOutcome.DONE, plan=plan))
            else:
                self._reply_failure(request_id, result)

        self._run(now, request_id, PLAN_PREFIX + plan_id, create, finish)

    def _run(
        self,
        now: float,
        operation_id: str,
        name: str,
        change: Callable[[Document | None], bytes | None],
        finish: Callable[[TransactionResult], None],
    ) -> None:
        self._transactions.begin(
            now,
            operation_id,
            name,
            change,
            lambda body: includes_operation(body, operation_id),
            finish,
        )

    def _show(self, now: float, request_id: str, plan_id: str) -> None:
        def check_exists(document: Document | None) -> None:
            _parse_plan(document, plan_id)

        def finish(result: TransactionResult) -> None:
            if result.outcome is TransactionOutcome.DONE:
                plan = _parse_plan(result.document, plan_id)
                self._reply(request_id, OperatorReply(OperatorOutcome.DONE, plan=plan))
            else:
                self._reply_failure(request_id, result)

        self._run(now, request_id, PLAN_PREFIX + plan_id, check_exists, finish)

    # Confirming

    def _confirm(self, now: float, request_id: str, plan_id: str) -> None:
        """Mark the plan as confirmed, then write the new configuration."""

        def mark(document: Document | None) -> bytes | None:
            plan = _parse_plan(document, plan_id)
            if plan.status == "rejected":
                raise ConfigurationError(f"plan {plan_id} was rejected")
            if plan.status == "confirmed":
                return None
            return _with_status(plan, "confirmed", request_id)

        def finish(result: TransactionResult) -> None:
            if result.outcome is TransactionOutcome.DONE:
                plan = _parse_plan(result.document, plan_id)
                self._swap_configuration(now, request_id, plan)
            else:
                self._reply_failure(request_id, result)

        self._run(now, f"mark/{request_id}", PLAN_PREFIX + plan_id, mark, finish)

    def _swap_configuration(self, now: float, request_id: str, plan: Plan) -> None:
        # Derived from the plan id, so that two operators who confirm the plan apply it once.
        operation_id = f"confirm/{plan.plan_id}"

        def swap(document: Document | None) -> bytes:
            current = parse_configuration(document)
            check_not_stale(document, plan)
            return confirmed_configuration(current, plan, operation_id).model_dump_json().encode()

        def finish(result: TransactionResult) -> None:
            if result.outcome is TransactionOutcome.DONE and result.document is not None:
                self._await_in_force(request_id, plan, result.document)
            else:
                self._reply_failure(request_id, result)

        self._transactions.begin(
            now,
            f"swap/{request_id}",
            CONFIGURATION,
            swap,
            lambda body: includes_operation(body, operation_id),
            finish,
        )

    def _await_in_force(self, request_id: str, plan: Plan, document: Document) -> None:
        """Reply to the operator once a majority of replicas has stored the configuration."""
        message = f"configuration {document.version} is accepted"
        reply = OperatorReply(OperatorOutcome.DONE, message, plan, document.version)
        self._awaiting_in_force[request_id] = (document.version, reply)
        self._documents.replicate(document)
        self.handle_in_force()

    def handle_in_force(self) -> None:
        """Reply to confirmations whose configuration is now in force on this node."""
        version = self._documents.version(CONFIGURATION)
        for request_id, (wanted, reply) in list(self._awaiting_in_force.items()):
            if version >= wanted:
                del self._awaiting_in_force[request_id]
                self._reply(request_id, reply)

    # Amending and rejecting

    def _amend(
        self, now: float, request_id: str, plan_id: str, new_plan_id: str, intents: Intents
    ) -> None:
        def finish(result: TransactionResult) -> None:
            if result.outcome is TransactionOutcome.DONE:
                self._propose(now, request_id, new_plan_id, intents)
            else:
                self._reply_failure(request_id, result)

        self._drop(now, f"amend/{request_id}", plan_id, finish)

    def _reject(self, now: float, request_id: str, plan_id: str) -> None:
        def finish(result: TransactionResult) -> None:
            if result.outcome is TransactionOutcome.DONE:
                plan = _parse_plan(result.document, plan_id)
                self._reply(request_id, OperatorReply(OperatorOutcome.DONE, plan=plan))
            else:
                self._reply_failure(request_id, result)

        self._drop(now, f"reject/{request_id}", plan_id, finish)

    def _drop(
        self,
        now: float,
        operation_id: str,
        plan_id: str,
        finish: Callable[[TransactionResult], None],
    ) -> None:
        def mark(document: Document | None) -> bytes | None:
            plan = _parse_plan(document, plan_id)
            if plan.status == "confirmed":
                raise ConfigurationError(f"plan {plan_id} was confirmed")
            return (
                None if plan.status == "rejected" else _with_status(plan, "rejected", operation_id)
            )

        self._run(now, operation_id, PLAN_PREFIX + plan_id, mark, finish)

    # Replicas

    def _replace_replica(self, now: float, request_id: str, command: ReplaceReplica) -> None:
        # Derived from the replica ids, so that a repeated command changes the map once.
        operation_id = f"replace/{command.old_replica_id}/{command.new_replica_id}"
        new = ShardReplica(
            replica_id=command.new_replica_id, node_id=command.node_id, zone=command.zone
        )

        def change(document: Document | None) -> bytes:
            current = parse_map(document) if document else self._first_map
            return with_operation(joint_map(current, command.old_replica_id, new), operation_id)

        def finish(result: TransactionResult) -> None:
            if result.outcome is TransactionOutcome.DONE:
                message = "the replica is being replaced; see status"
                self._reply(request_id, OperatorReply(OperatorOutcome.DONE, message))
            else:
                self._reply_failure(request_id, result)

        self._transactions.begin(
            now,
            f"replace/{request_id}",
            SHARD_MAP,
            change,
            lambda body: includes_operation(body, operation_id),
            finish,
        )


def _parse_plan(document: Document | None, plan_id: str) -> Plan:
    """Return the plan in a document.

    :raises UnknownPlanError: if there is no document.
    """
    if document is None:
        raise UnknownPlanError(f"no plan {plan_id}")
    return Plan.model_validate_json(document.body)


def _with_status(plan: Plan, status: str, operation_id: str) -> bytes:
    """Return the body of a plan with a new status."""
    operations = append_operation(plan.operations, operation_id)
    changed = plan.model_copy(update={"status": status, "operations": operations})
    return changed.model_dump_json().encode()


def check_not_stale(document: Document | None, plan: Plan) -> None:
    """Check that a plan was computed on the platform's current configuration.

    :raises StalePlanError: if the version has changed since.
    """
    version = document.version if document else 0
    if version == plan.base_version:
        return
    changed = describe_change(plan.base, parse_configuration(document).intents)
    message = f"the plan was computed on configuration {plan.base_version}, now it is {version}"
    raise StalePlanError(message, changed)
