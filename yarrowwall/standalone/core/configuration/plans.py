"""Computes plans: the changes that a set of intents would make."""

from typing import TypeVar

from yarrowwall.standalone.core.configuration.models import (
    KEPT_OPERATIONS,
    BudgetIntent,
    Configuration,
    Intents,
    LookupIntent,
    Plan,
    ServingIntent,
)

_Item = TypeVar("_Item", ServingIntent, BudgetIntent, LookupIntent)


def merge_intents(current: Intents, changes: Intents) -> Intents:
    """Return the current intents with changes applied."""
    return Intents(
        serving=_merge(current.serving, changes.serving, "desk"),
        budgets=_merge(current.budgets, changes.budgets, "desk"),
        lookups=_merge(current.lookups, changes.lookups, "kind"),
    )


def _merge(current: list[_Item], changes: list[_Item], key: str) -> list[_Item]:
    """Replace or add items by their key; the result is sorted by key."""
    merged = {getattr(item, key): item for item in current}
    merged.update({getattr(item, key): item for item in changes})
    return [merged[name] for name in sorted(merged)]


def describe_change(before: Intents, after: Intents) -> list[str]:
    """Return a line for each intent that was added or changed."""
    lines = []
    for section in ("serving", "budgets", "lookups"):
        old = {_key(item): item for item in getattr(before, section)}
        for item in getattr(after, section):
            if old.get(_key(item)) != item:
                verb = "change" if _key(item) in old else "add"
                lines.append(f"{verb} {section} {_key(item)}: {item.model_dump_json()}")
    return lines


def _key(item: ServingIntent | BudgetIntent | LookupIntent) -> str:
    return item.kind if isinstance(item, LookupIntent) else item.desk


def make_plan(plan_id: str, base_version: int, current: Configuration, changes: Intents) -> Plan:
    """Return a plan that applies changes to the current configuration."""
    after = merge_intents(current.intents, changes)
    return Plan(
        plan_id=plan_id,
        base_version=base_version,
        base=current.intents,
        intents=changes,
        effects=describe_change(current.intents, after),
    )


def append_operation(operations: list[str], operation_id: str) -> list[str]:
    """Return the operation ids with one appended, without the oldest beyond the limit."""
    return [*operations, operation_id][-KEPT_OPERATIONS:]


def confirmed_configuration(current: Configuration, plan: Plan, operation_id: str) -> Configuration:
    """Return the configuration with a plan applied."""
    return Configuration(
        intents=merge_intents(current.intents, plan.intents),
        operations=append_operation(current.operations, operation_id),
    )
