"""Settings of a machine on a platform: TOML, checked, unknown keys passed over."""

from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field

from yarrowwall.settings import Address, Name


class _Section(BaseModel):
    # A platform adds keys of its own with time; they are no faults.
    model_config = ConfigDict(extra="ignore", frozen=True)


class GatewaySettings(_Section):
    """Listeners towards callers and the platform."""

    http_address: Address
    readiness_address: Address


class ReplicaSettings(_Section):
    """The disk and the listener of a replica."""

    data_folder: Path
    disk_megabytes: int = Field(default=0, ge=0)


class BoundSettings(_Section):
    """Time limits that the deployment sets, in seconds."""

    stop: float = Field(default=8.0, gt=0.0)
    drain: float = Field(default=2.0, gt=0.0)
    catch_up: float = Field(default=4.0, gt=0.0)
    contact: float = Field(default=3.0, gt=0.0)
    heartbeat: float = Field(default=1.0, gt=0.0)


class MachineSettings(_Section):
    """The settings file of a machine."""

    node_id: Name
    zone: Name
    ip: str
    first_peer_port: int = Field(gt=0, lt=65536)
    last_peer_port: int = Field(gt=0, lt=65536)
    metrics_port: int | None = Field(default=None, gt=0, lt=65536)
    platform_address: Address
    is_first_start: bool = False
    machines_lost_at_once: int = Field(default=1, ge=0)
    memory_megabytes: int = Field(default=256, gt=0)
    bounds: BoundSettings = BoundSettings()
    gateway: GatewaySettings | None = None
    replica: ReplicaSettings | None = None

    @property
    def peer_address(self) -> str:
        """Return where other nodes reach this one."""
        return f"{self.ip}:{self.first_peer_port}"

    @property
    def metrics_address(self) -> str:
        """Return where metrics are told."""
        return f"{self.ip}:{self.metrics_port or self.last_peer_port}"
