"""Converts members and views to and from the content of objects in the platform's store."""

from dataclasses import asdict, replace
from typing import Any

from yarrowwall.addresses import check_address
from yarrowwall.messages.replicated import GroupView, Member
from yarrowwall.ports.object_store import StoredObject

#: Kind of the machines' registrations, one object per node.
REPLICAS_KIND = "yarrowwall-replicas"
#: Field of a registration that holds the id of the disk for the zone's own group. Earlier
#: releases do not write it.
ZONE_DISK = "zone_disk_id"
#: Kind and name of the object that holds the newest view of every group.
GROUPS_KIND = "yarrowwall-groups"
GROUPS_NAME = "all"


def member_spec(member: Member) -> dict[str, Any]:
    """Return the content of an object for a member."""
    return asdict(member)


def read_member(spec: dict[str, Any]) -> Member:
    """Return a member from an object's content.

    :raises KeyError: if a field is missing.
    :raises TypeError: if a field is not text.
    """
    fields = [spec[name] for name in ("node_id", "disk_id", "address", "zone")]
    if not all(isinstance(field, str) for field in fields):
        raise TypeError("a field of a member is not text")
    return Member(*fields)


def view_spec(view: GroupView) -> dict[str, Any]:
    """Return the content of an object for a view."""
    return asdict(view)


def read_view(spec: dict[str, Any]) -> GroupView:
    """Return a view from an object's content.

    :raises KeyError: if a field is missing.
    :raises TypeError: if a field is of another type.
    """
    if type(spec["group"]) is not int or type(spec["epoch"]) is not int:
        raise TypeError("a number of a view is not whole")
    return GroupView(
        spec["group"],
        spec["epoch"],
        [read_member(member) for member in spec["members"]],
        [read_member(member) for member in spec["joining"]],
    )


def groups_spec(views: list[GroupView]) -> dict[str, Any]:
    """Return the content of the object for the views of all groups."""
    return {"groups": [view_spec(view) for view in views]}


def read_groups(item: StoredObject) -> list[GroupView] | None:
    """Return the views of all groups; None if the object holds no valid views."""
    if item.name != GROUPS_NAME:
        return None
    try:
        return [read_view(view) for view in item.spec["groups"]]
    except (KeyError, TypeError):
        return None


def registration_spec(common: Member, zone_disk_id: str) -> dict[str, Any]:
    """Return the content of a machine's registration, which names both of its disks."""
    return {**member_spec(common), ZONE_DISK: zone_disk_id}


def read_registration(item: StoredObject) -> Member | None:
    """Return a registered machine; None if the object is no valid registration."""
    try:
        member = read_member(item.spec)
        check_address(member.address)
    except (KeyError, TypeError, ValueError):
        return None
    # An object under another name would replace the registration of that machine.
    return member if member.node_id == item.name else None


def read_zone_registration(item: StoredObject) -> Member | None:
    """Return a machine with its disk for its zone's own group; None if it names no such disk."""
    common = read_registration(item)
    disk_id = item.spec.get(ZONE_DISK) if common is not None else None
    if common is None or not isinstance(disk_id, str):
        return None
    return replace(common, disk_id=disk_id)
