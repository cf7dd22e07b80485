"""Callers' API keys: fingerprints for logs, and changes between configurations."""

import hashlib
from collections.abc import Iterator
from typing import NamedTuple

from yarrowwall.model import Configuration

#: Bytes of a fingerprint: enough to distinguish some ten thousand keys, too few to derive one.
FINGERPRINT_BYTES = 4


def fingerprint(api_key: str) -> str:
    """Return the fingerprint that logs show in place of a key."""
    return hashlib.blake2s(api_key.encode(), digest_size=FINGERPRINT_BYTES).hexdigest()


class KeyChange(NamedTuple):
    """Fingerprints of the keys that a configuration adds to a tenant or removes from it."""

    tenant: str
    added: list[str]
    removed: list[str]


def key_changes(before: Configuration | None, after: Configuration) -> Iterator[KeyChange]:
    """Return the changes of keys by tenant; none if there was no configuration before."""
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
