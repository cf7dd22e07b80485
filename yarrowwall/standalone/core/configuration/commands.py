"""Commands of operators and the replies to them."""

from dataclasses import dataclass, field
from enum import StrEnum

from yarrowwall.standalone.core.configuration.models import Intents, Plan


@dataclass(frozen=True)
class ApplyIntents:
    """Compute a plan that applies intents."""

    plan_id: str
    intents: Intents


@dataclass(frozen=True)
class ShowPlan:
    """Read a plan."""

    plan_id: str


@dataclass(frozen=True)
class ConfirmPlan:
    """Bring a plan into force."""

    plan_id: str


@dataclass(frozen=True)
class AmendPlan:
    """Reject a plan and compute a new one from other intents."""

    plan_id: str
    new_plan_id: str
    intents: Intents


@dataclass(frozen=True)
class RejectPlan:
    """Reject a plan."""

    plan_id: str


@dataclass(frozen=True)
class ReplaceReplica:
    """Replace a replica whose disk is lost."""

    old_replica_id: str
    new_replica_id: str
    node_id: str
    zone: str


OperatorCommand = ApplyIntents | ShowPlan | ConfirmPlan | AmendPlan | RejectPlan | ReplaceReplica


class OperatorOutcome(StrEnum):
    """Outcome of an operator's command."""

    DONE = "done"
    INVALID = "invalid_request"
    UNKNOWN_PLAN = "plan_unknown"
    STALE_PLAN = "stale_plan"
    #: Nothing was changed; the command can be retried.
    NOT_RUN = "not_run"
    #: The platform did not answer; the change may have taken effect.
    OUTCOME_UNKNOWN = "outcome_unknown"


@dataclass(frozen=True)
class OperatorReply:
    """The reply to an operator's command.

    :param changed: changes since a stale plan was computed, one line each.
    :param version: configuration version that contains the change.
    """

    outcome: OperatorOutcome
    message: str = ""
    plan: Plan | None = None
    version: int = 0
    changed: list[str] = field(default_factory=list)
