"""Validated models of the documents in the platform's object store."""

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

CONFIGURATION = "configuration"
MACHINES = "machines"
SHARD_MAP = "shard-map"
CONTROLLER_LEASE = "controller-lease"
PLAN_PREFIX = "plans/"
#: Documents that are distributed to every node.
DISTRIBUTED_DOCUMENTS = (CONFIGURATION, MACHINES, SHARD_MAP)
#: Number of operation ids kept in a document, to tell a lost answer from a lost write.
KEPT_OPERATIONS = 64


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class ServingIntent(_Model):
    """Model and adapter that serve a desk, and the zones in which they do."""

    desk: str = Field(min_length=1)
    model: str = Field(min_length=1)
    adapter: str | None = None
    zones: list[str] = Field(min_length=1)


class BudgetIntent(_Model):
    """Budget of a desk's programs, in tokens per program."""

    desk: str = Field(min_length=1)
    tokens: int = Field(gt=0)


class LookupIntent(_Model):
    """Priority of a kind of lookup."""

    kind: str = Field(min_length=1)
    urgent: bool


class Intents(_Model):
    """A set of intents; each replaces an earlier intent for the same desk or kind."""

    serving: list[ServingIntent] = []
    budgets: list[BudgetIntent] = []
    lookups: list[LookupIntent] = []


class Configuration(_Model):
    """Intents that operators confirmed; the body of the configuration document.

    :ivar operations: ids of the latest writes, newest last.
    """

    intents: Intents = Intents()
    operations: list[str] = []


class Plan(_Model):
    """A proposed change that an operator confirms or rejects.

    :ivar base_version: configuration version the plan was computed on.
    :ivar base: the intents of that version, to list later what has changed since.
    :ivar effects: the resulting changes, one line each.
    """

    plan_id: str
    base_version: int
    base: Intents
    intents: Intents
    effects: list[str]
    status: Literal["proposed", "confirmed", "rejected"] = "proposed"
    operations: list[str] = []


class Machine(_Model):
    """A machine in the platform's list, which lags behind reality."""

    machine_id: str
    kind: Literal["engine", "records", "tool", "node"]
    zone: str
    address: str
    state: Literal["live", "leaving"] = "live"


class MachineList(_Model):
    """Body of the document with the machine list."""

    machines: list[Machine] = []


class ShardReplica(_Model):
    """A journal replica in the shard map."""

    replica_id: str
    node_id: str
    zone: str


class ShardMap(_Model):
    """The replicas that hold the programs' logs.

    :ivar replicas: current replicas; decisions need a majority of each group of them.
    :ivar next_replicas: future replicas during a change, whose majorities are needed too.
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
