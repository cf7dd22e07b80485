"""Settings of a machine on a platform: TOML, checked, unknown keys passed over.

Checked by ``msgspec`` and not, as the product's other settings, by ``pydantic``: that
takes 0.1 s and 10 MB of every start, which on these machines is time out of service.
"""

import re
from pathlib import Path
from typing import Annotated, Any

import msgspec

from yarrowwall.addresses import check_address
from yarrowwall.exceptions import SettingsError
from yarrowwall.policy.memory_budget import DEFAULT_MEMORY_MB
from yarrowwall.quotas.quota_rules import QuotaRules
from yarrowwall.settings_file import NAME_PATTERN, parse_toml, read_text

_Name = Annotated[str, msgspec.Meta(pattern=NAME_PATTERN)]
_Port = Annotated[int, msgspec.Meta(gt=0, lt=65536)]
_Seconds = Annotated[float, msgspec.Meta(gt=0.0)]
_Milliseconds = _Seconds
_NotNegative = Annotated[float, msgspec.Meta(ge=0.0)]
#: msgspec puts the place of a fault behind its text.
_PLACE = re.compile(r" - at `\$\.?(.*)`$")


class _Section(msgspec.Struct, frozen=True):
    """A table of the file. A platform adds keys of its own with time; they are no faults."""


class Address(str):
    """An address, ``IP:port``."""


class GatewaySettings(_Section, frozen=True, kw_only=True):
    """Listeners towards callers and the platform."""

    http_address: Address
    readiness_address: Address


class ReplicaSettings(_Section, frozen=True, kw_only=True):
    """The disk of a replica."""

    data_folder: str


class BoundSettings(_Section, frozen=True, kw_only=True):
    """Time limits that the deployment sets.

    :param stop: seconds that a process has to end after it was asked to.
    :param revocation_ms: in which a key may still be served after it was taken away; None
        without a bound.
    :param configuration_ms: in which callers may still be refused by an older configuration;
        None without a bound.
    :param quota_window_s: any span of so many seconds has to keep within a tenant's limit.
    :param quota_overage: part of a limit by which all gateways together may exceed it.
    :param quota_slack: requests by which they may exceed it besides.
    """

    stop: _Seconds = 8.0
    revocation_ms: _Milliseconds | None = None
    configuration_ms: _Milliseconds | None = None
    quota_window_s: _Seconds = 5.0
    quota_overage: _NotNegative = 0.0
    quota_slack: _NotNegative = 0.0

    @property
    def quota_rules(self) -> QuotaRules:
        """Return how tenants' limits are measured."""
        return QuotaRules(self.quota_window_s, self.quota_overage, self.quota_slack)

    @property
    def revocation_s(self) -> float | None:
        """Return the bound of revocation in seconds."""
        return self.revocation_ms / 1000.0 if self.revocation_ms is not None else None

    @property
    def configuration_s(self) -> float | None:
        """Return the bound of a configuration's age in seconds."""
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
    machines_lost_at_once: Annotated[int, msgspec.Meta(ge=0)] = 1
    bounds: BoundSettings = BoundSettings()
    gateway: GatewaySettings | None = None
    replica: ReplicaSettings | None = None

    @property
    def peer_address(self) -> str:
        """Return where other nodes reach this one."""
        return f"{self.ip}:{self.first_peer_port}"

    @property
    def accepts_forwarded_requests(self) -> bool:
        """Return whether this machine forwards requests of gateways that are cut off.

        A replica takes its own requests at the peer address, and so may metrics be told there.
        """
        is_free = self.replica is None and self.peer_address != self.metrics_address
        return self.gateway is not None and is_free

    @property
    def metrics_address(self) -> str:
        """Return where metrics are told."""
        return f"{self.ip}:{self.metrics_port or self.last_peer_port}"

    @property
    def listen_addresses(self) -> list[str]:
        """Return where others reach this process."""
        found: list[str] = []
        if self.gateway is not None:
            found += [self.gateway.http_address, self.gateway.readiness_address]
        if self.replica is not None:
            found.append(self.peer_address)
        return found


def parse_machine_settings(text: str) -> MachineSettings:
    """Check the text of a machine's settings file.

    :raises SettingsError: with one line for each faulty key; of a table, for its first.
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
    """Return a value of a type that msgspec does not know."""
    return wanted(check_address(str(value)))


def _fault_line(key: str, value: object, text: str) -> str:
    """Return key, value and what is allowed."""
    place = _PLACE.search(text)
    if place is None:
        return f"{key}: {value!r}: {text}"
    inner = f"{key}.{place[1]}" if place[1] else key
    return f"{inner}: {value!r}: {text[: place.start()]}"


def load_machine_settings(path: Path) -> MachineSettings:
    """Read and check a machine's settings file.

    :raises SettingsError: if it cannot be read or has faults.
    """
    return parse_machine_settings(read_text(path))
