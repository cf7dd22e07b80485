"""Callers' keys: who holds them, and how they are told apart without being shown."""

import hashlib
from collections.abc import Iterator
from typing import NamedTuple

from yarrowwall.model import Configuration

#: Bytes of a fingerprint: enough to tell some ten thousand keys apart, too few to guess one by.
FINGERPRINT_BYTES = 4


def fingerprint(api_key: str) -> str:
    """Return what stands for a key in logs."""
    return hashlib.blake2s(api_key.encode(), digest_size=FINGERPRINT_BYTES).hexdigest()


class KeyChange(NamedTuple):
    """The keys that a configuration gives to a tenant or takes away, by fingerprint."""

    tenant: str
    added: list[str]
    removed: list[str]


def key_changes(before: Configuration | None, after: Configuration) -> Iterator[KeyChange]:
    """Return how the keys of two configurations differ; nothing for the first one."""
    if before is None:
        return
    known = {tenant.name: set(tenant.api_keys) for tenant in before.tenants or ()}
    now = {tenant.name: set(tenant.api_keys) for tenant in after.tenants or ()}
    for name in sorted(known.keys() | now.keys()):
        added = now.get(name, set()) - known.get(name, set())
        removed = known.get(name, set()) - now.get(name, set())
        if added or removed:
            yield KeyChange(name, _fingerprints(added), _fingerprints(removed))


def _fingerprints(keys: set[str]) -> list[str]:
    return sorted(fingerprint(key) for key in keys)
