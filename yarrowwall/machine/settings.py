"""Settings of a machine on a platform: a TOML file that is validated; unknown keys are ignored.

It is validated with ``msgspec`` instead of ``pydantic``, which the other settings use: importing
``pydantic`` adds 0.1 s and 10 MB to each start, and a machine is out of service meanwhile.
"""

import re
from pathlib import Path
from typing import Annotated, Any

import msgspec

from yarrowwall.addresses import check_address
from yarrowwall.exceptions import SettingsError
from yarrowwall.policy.connection_budget import DEFAULT_MAX_DESCRIPTORS
from yarrowwall.policy.memory_budget import DEFAULT_MEMORY_MB
from yarrowwall.quotas.quota_rules import QuotaRules
from yarrowwall.settings_file import NAME_PATTERN, parse_toml, read_text

_Name = Annotated[str, msgspec.Meta(pattern=NAME_PATTERN)]
_Port = Annotated[int, msgspec.Meta(gt=0, lt=65536)]
_Seconds = Annotated[float, msgspec.Meta(gt=0.0)]
_Milliseconds = _Seconds
_NotNegative = Annotated[float, msgspec.Meta(ge=0.0)]
#: msgspec appends the path of the invalid value to its message.
_PLACE = re.compile(r" - at `\$\.?(.*)`$")


class _Section(msgspec.Struct, frozen=True):
    """A table of the file. Platforms may add keys, so unknown ones are not faults."""


class Address(str):
    """An address, ``IP:port``."""


class GatewaySettings(_Section, frozen=True, kw_only=True):
    """Addresses on which callers and the platform reach the gateway."""

    http_address: Address
    readiness_address: Address


class ReplicaSettings(_Section, frozen=True, kw_only=True):
    """The disk of a replica."""

    data_folder: str


class BoundSettings(_Section, frozen=True, kw_only=True):
    """Time limits that the deployment sets.

    :param stop: seconds within which the process must end after it was asked to.
    :param revocation_ms: time within which a key may still be served after it was revoked; None
        for no bound.
    :param configuration_ms: time within which callers may still be refused because of an older
        configuration; None for no bound.
    :param quota_window_s: length of the sliding window in which a tenant's limit must be kept.
    :param quota_overage: fraction of a limit by which all gateways together may exceed it.
    :param quota_slack: number of requests by which they may exceed it in addition.
    """

    stop: _Seconds = 8.0
    revocation_ms: _Milliseconds | None = None
    configuration_ms: _Milliseconds | None = None
    quota_window_s: _Seconds = 5.0
    quota_overage: _NotNegative = 0.0
    quota_slack: _NotNegative = 0.0

    @property
    def quota_rules(self) -> QuotaRules:
        """Return the rules by which tenants' limits are measured."""
        return QuotaRules(self.quota_window_s, self.quota_overage, self.quota_slack)

    @property
    def revocation_s(self) -> float | None:
        """Return the bound on serving a revoked key in seconds; None for no bound."""
        return self.revocation_ms / 1000.0 if self.revocation_ms is not None else None

    @property
    def configuration_s(self) -> float | None:
        """Return the bound on refusals by an older configuration in seconds; None for no bound."""
        return self.configuration_ms / 1000.0 if self.configuration_ms is not None else None


class MachineSettings(_Section, frozen=True, kw_only=True):
    """The settings file of a machine."""

    node_id: _Name
    zone: _Name
    ip: str
    first_peer_port: _Port
    last_peer_port: _Port
    metrics_port: _Port | None = None
    platform_address: Address
    is_first_start: bool = False
    memory_mb: Annotated[float, msgspec.Meta(gt=0.0)] = DEFAULT_MEMORY_MB
    max_fds: Annotated[int, msgspec.Meta(gt=0)] = DEFAULT_MAX_DESCRIPTORS
    machines_lost_at_once: Annotated[int, msgspec.Meta(ge=0)] = 1
    bounds: BoundSettings = BoundSettings()
    gateway: GatewaySettings | None = None
    replica: ReplicaSettings | None = None

    @property
    def peer_address(self) -> str:
        """Return the address on which other machines reach this one."""
        return f"{self.ip}:{self.first_peer_port}"

    @property
    def accepts_forwarded_requests(self) -> bool:
        """Return whether this machine forwards requests of gateways that are cut off.

        It needs the peer address for that, which a replica or the metrics may already use.
        """
        is_free = self.replica is None and self.peer_address != self.metrics_address
        return self.gateway is not None and is_free

    @property
    def metrics_address(self) -> str:
        """Return the address on which metrics are served."""
        return f"{self.ip}:{self.metrics_port or self.last_peer_port}"

    @property
    def listen_addresses(self) -> list[str]:
        """Return the addresses on which callers, the platform and replicas' clients connect."""
        found: list[str] = []
        if self.gateway is not None:
            found += [self.gateway.http_address, self.gateway.readiness_address]
        if self.replica is not None:
            found.append(self.peer_address)
        return found


def parse_machine_settings(text: str) -> MachineSettings:
    """Return the validated settings in the text of a settings file.

    :raises SettingsError: with one line for each invalid key; for a table, its first fault only.
    """
    values = parse_toml(text)
    faults = []
    for field in msgspec.structs.fields(MachineSettings):
        if field.name in values:
            faults += _faults(field, values[field.name])
        elif field.required:
            faults.append(f"{field.name}: missing: the key is required")
    if faults:
        raise SettingsError(faults)
    return _convert(values, MachineSettings)


def _faults(field: msgspec.structs.FieldInfo, value: object) -> list[str]:
    try:
        _convert(value, field.type)
    except msgspec.ValidationError as error:
        return [_fault_line(field.name, value, str(error))]
    return []


def _convert(value: object, wanted: Any) -> Any:
    return msgspec.convert(value, wanted, dec_hook=_address)


def _address(wanted: type, value: object) -> Address:
    """Convert a value to an address, a type that msgspec does not know."""
    return wanted(check_address(str(value)))


def _fault_line(key: str, value: object, text: str) -> str:
    """Return a line with the key, its value and the reason why it is invalid."""
    place = _PLACE.search(text)
    if place is None:
        return f"{key}: {value!r}: {text}"
    inner = f"{key}.{place[1]}" if place[1] else key
    return f"{inner}: {value!r}: {text[: place.start()]}"


def load_machine_settings(path: Path) -> MachineSettings:
    """Read and validate a machine's settings file.

    :raises SettingsError: if it cannot be read or has faults.
    """
    return parse_machine_settings(read_text(path))
