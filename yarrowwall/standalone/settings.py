"""Settings files in TOML, validated by pydantic with one error line per invalid key."""

from pathlib import Path
from typing import Annotated, TypeVar

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError
from pydantic_core import ErrorDetails

from yarrowwall.addresses import check_address
from yarrowwall.exceptions import SettingsError
from yarrowwall.settings_file import NAME_PATTERN, parse_toml, read_text
from yarrowwall.standalone.core.limits import Limits

Address = Annotated[str, AfterValidator(check_address)]
Name = Annotated[str, Field(pattern=NAME_PATTERN)]


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class PeerSettings(_Section):
    """A seed node for gossip."""

    node_id: Name
    zone: Name
    address: Address


class ReplicaSettings(_Section):
    """A journal replica of the initial shard map."""

    replica_id: Name
    node_id: Name
    zone: Name


class SchedulingSettings(_Section):
    """Placement policy and its weights; docs/design describes how they were derived."""

    policy: str = Field(
        default="yarrowwall", pattern="^(yarrowwall|round-robin|least-loaded|sticky)$"
    )
    wasted_cache_weight: float = Field(default=30.0, ge=0.0, le=1000.0)
    prefill_tokens_per_second: float = Field(default=8000.0, gt=0.0)
    decode_seconds_per_token: float = Field(default=0.025, gt=0.0)


class LimitSettings(_Section):
    """Limits of a node; times are in seconds."""

    order_wait: float = Field(default=Limits.order_wait, gt=0.0, le=3600.0)
    queue_wait: float = Field(default=Limits.queue_wait, gt=0.0, le=3600.0)
    request_deadline: float = Field(default=Limits.request_deadline, gt=0.0, le=3600.0)
    idle_limit: float = Field(default=Limits.idle_limit, gt=0.0)
    calls_per_program: int = Field(default=Limits.calls_per_program, gt=0)


class NodeFileSettings(_Section):
    """Contents of a node's settings file."""

    node_id: Name
    zone: Name
    peer_address: Address
    http_address: Address
    platform_address: Address
    data_folder: Path | None = None
    log_level: str = Field(default="INFO", pattern="^(DEBUG|INFO|NOTICE|WARNING|ERROR)$")
    default_budget_tokens: int = Field(default=200_000, gt=0)
    peers: list[PeerSettings] = []
    replicas: list[ReplicaSettings] = Field(min_length=1)
    scheduling: SchedulingSettings = SchedulingSettings()
    limits: LimitSettings = LimitSettings()


_Checked = TypeVar("_Checked", bound=BaseModel)


def parse_settings(text: str, model: type[_Checked]) -> _Checked:
    """Parse and validate the text of a settings file.

    :param model: Model of the file's contents.
    :raises SettingsError: With one line per error.
    """
    values = parse_toml(text)
    try:
        return model.model_validate(values)
    except ValidationError as error:
        raise SettingsError([_fault_line(fault) for fault in error.errors()]) from error


def _fault_line(fault: ErrorDetails) -> str:
    """Format a validation error as key, value and message."""
    key = ".".join(str(part) for part in fault["loc"])
    if fault["type"] == "missing":
        return f"{key}: missing: the key is required"
    if fault["type"] == "extra_forbidden":
        return f"{key}: {fault['input']!r}: no such key is known"
    return f"{key}: {fault['input']!r}: {fault['msg']}"


def load_settings(path: Path, model: type[_Checked]) -> _Checked:
    """Read and validate a settings file.

    :param model: Model of the file's contents.
    :raises SettingsError: If the file can't be read or is invalid.
    """
    return parse_settings(read_text(path), model)
