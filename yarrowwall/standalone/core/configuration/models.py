"""The documents of the platform, as checked models."""

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

CONFIGURATION = "configuration"
MACHINES = "machines"
SHARD_MAP = "shard-map"
CONTROLLER_LEASE = "controller-lease"
PLAN_PREFIX = "plans/"
#: Documents that are spread to every node.
SPREAD_DOCUMENTS = (CONFIGURATION, MACHINES, SHARD_MAP)
#: How many operation ids a configuration remembers, to tell a lost answer from a lost write.
KEPT_OPERATIONS = 64


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class ServingIntent(_Model):
    """Which model and adapter serve a desk in which zones."""

    desk: str = Field(min_length=1)
    model: str = Field(min_length=1)
    adapter: str | None = None
    zones: list[str] = Field(min_length=1)


class BudgetIntent(_Model):
    """What a program of a desk may spend, in tokens."""

    desk: str = Field(min_length=1)
    tokens: int = Field(gt=0)


class LookupIntent(_Model):
    """Whether a kind of lookup counts as urgent."""

    kind: str = Field(min_length=1)
    urgent: bool


class Intents(_Model):
    """A set of intents; each replaces the intent of the same desk or kind."""

    serving: list[ServingIntent] = []
    budgets: list[BudgetIntent] = []
    lookups: list[LookupIntent] = []


class Configuration(_Model):
    """What the operators accepted; the body of the configuration document.

    :ivar operations: ids of the latest writes, newest last.
    """

    intents: Intents = Intents()
    operations: list[str] = []


class Plan(_Model):
    """A change that waits for an operator's word.

    :ivar base_version: configuration version the plan was computed on.
    :ivar base: the intents of that version, to tell later what changed since.
    :ivar effects: what would change, one line each.
    """

    plan_id: str
    base_version: int
    base: Intents
    intents: Intents
    effects: list[str]
    status: Literal["proposed", "confirmed", "rejected"] = "proposed"
    operations: list[str] = []


class Machine(_Model):
    """A machine as the platform's lagging list names it."""

    machine_id: str
    kind: Literal["engine", "records", "tool", "node"]
    zone: str
    address: str
    state: Literal["live", "leaving"] = "live"


class MachineList(_Model):
    """Body of the machines document."""

    machines: list[Machine] = []


class ShardReplica(_Model):
    """A journal replica in the shard map."""

    replica_id: str
    node_id: str
    zone: str


class ShardMap(_Model):
    """Which replicas hold the programs' logs.

    :ivar replicas: the group that decides.
    :ivar next_replicas: during a change, the group that decides as well.
    """

    replicas: list[ShardReplica] = []
    next_replicas: list[ShardReplica] = []
    operations: list[str] = []


class ControllerLease(_Model):
    """Body of the controller lease."""

    holder: str
    term: int
    renewal: int
    operations: list[str] = []
