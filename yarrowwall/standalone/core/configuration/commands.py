"""Operators' commands and their replies."""

from dataclasses import dataclass, field
from enum import StrEnum

from yarrowwall.standalone.core.configuration.models import Intents, Plan


@dataclass(frozen=True)
class ApplyIntents:
    """Compute a plan for intents."""

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
    """Reject a plan and compute another in its place."""

    plan_id: str
    new_plan_id: str
    intents: Intents


@dataclass(frozen=True)
class RejectPlan:
    """Drop a plan."""

    plan_id: str


@dataclass(frozen=True)
class ReplaceReplica:
    """Put another replica in the place of one whose disk is gone."""

    old_replica_id: str
    new_replica_id: str
    node_id: str
    zone: str


OperatorCommand = ApplyIntents | ShowPlan | ConfirmPlan | AmendPlan | RejectPlan | ReplaceReplica


class OperatorOutcome(StrEnum):
    """How an operator's command ended."""

    DONE = "done"
    INVALID = "invalid_request"
    UNKNOWN_PLAN = "plan_unknown"
    STALE_PLAN = "stale_plan"
    #: Nothing was changed; the command may be given again.
    NOT_RUN = "not_run"
    #: The platform gave no answer; the change may have taken effect.
    OUTCOME_UNKNOWN = "outcome_unknown"


@dataclass(frozen=True)
class OperatorReply:
    """The answer to an operator's command.

    :param changed: what changed since a stale plan was computed, one line each.
    :param version: configuration version that holds the change.
    """

    outcome: OperatorOutcome
    message: str = ""
    plan: Plan | None = None
    version: int = 0
    changed: list[str] = field(default_factory=list)
