"""Mutants of the names in the record store, each of which lets two owners share one."""

from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import Any
from unittest.mock import patch

from yarrowwall.budgets import record_names
from yarrowwall.budgets.record_names import RecordName

_qualified = record_names._qualified


def _leave_plain(text: str) -> bool:
    return False


def _without_length(tenant: str, chosen_id: str) -> RecordName:
    return RecordName(f"{tenant}:{chosen_id}")


def _leave_empty(tenant: str, chosen_id: str) -> RecordName:
    return _qualified(tenant, chosen_id) if chosen_id else record_names.NO_NAME


def _join_by_slash(owner: RecordName, part: str) -> str:
    return f"{owner}/{part}"


def _only_with_tenant(text: str) -> bool:
    length, _, rest = text.partition(":")
    return length.isdecimal() and int(length) > 0 and rest[int(length) :].startswith(":")


MUTANTS: dict[str, Callable[[], AbstractContextManager[Any]]] = {
    "leave what a caller without a tenant chose": lambda: patch.object(
        record_names, "_is_qualified", _leave_plain
    ),
    "tell no length of the tenant": lambda: patch.object(
        record_names, "_qualified", _without_length
    ),
    "leave an empty id without its tenant": lambda: patch.object(
        record_names, "_qualified", _leave_empty
    ),
    "take the owners of turns for programs": lambda: patch.object(
        record_names, "_RESERVED_OWNERS", frozenset[str]()
    ),
    "join owners and attempts by a slash": lambda: patch.object(
        record_names, "joined", _join_by_slash
    ),
    "take the qualified form of none for a plain one": lambda: patch.object(
        record_names, "_is_qualified", _only_with_tenant
    ),
}
