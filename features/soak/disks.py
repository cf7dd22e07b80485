"""Loss of disks, one at a time, and the wait until their data is copied again."""

import shutil
import socket
import struct
import threading
import time
from typing import Any, NamedTuple

from features.soak.disruptions import Disruptions
from features.soak.world import SoakWorld
from yarrowwall.messages.codec import decode, encode
from yarrowwall.messages.exceptions import MessageError
from yarrowwall.messages.replicated import AskStatus, StatusReply

#: Seconds within which the group of a wiped replica must be complete again.
REJOIN_S = 25.0
_POLL_S = 0.1
_ANSWER_S = 1.0
#: Header of a message between machines: its length and number.
_HEADER = struct.Struct(">II")


class DiskLoss(NamedTuple):
    """A lost disk.

    :param disks: its ids in the views of the groups; empty if it was in no group.
    :param members: number of members of all groups before the loss.
    """

    name: str
    disks: set[str]
    members: int


class Disks:
    """The replicas' disks.

    :param rejoin_s: seconds within which the group of a wiped replica must be complete again.
    :ivar lock: held from the loss of a disk until its data is copied, so that only one disk is
        lost at a time.
    """

    def __init__(
        self, world: SoakWorld, disruptions: Disruptions, rejoin_s: float = REJOIN_S
    ) -> None:
        self._rejoin_s = rejoin_s
        self._world = world
        self._disruptions = disruptions
        self.lock = threading.Lock()

    def lose(self, name: str) -> DiskLoss:
        """Delete the data of a replica that is down."""
        views = self._views()
        known = [member for view in views for member in [*view["members"], *view["joining"]]]
        disks = {member["disk_id"] for member in known if member["node_id"] == name}
        members = sum(len(view["members"]) for view in views)
        shutil.rmtree(self._world.disk(name), ignore_errors=True)
        return DiskLoss(name, disks, members)

    def wait_copied(self, loss: DiskLoss, fault: int) -> None:
        """Wait until other disks replace a lost one; raise AssertionError after ``rejoin_s``.

        :param fault: number of the loss; the time starts again while another fault lasts.
        """
        end = time.monotonic() + self._rejoin_s
        while loss.disks and not self._is_copied(loss):
            if self._disruptions.has_other_fault(fault):
                end = time.monotonic() + self._rejoin_s
            if time.monotonic() > end:
                raise AssertionError(
                    f"the group of {loss.name} is not complete again after its disk was wiped"
                )
            time.sleep(_POLL_S)

    def _is_copied(self, loss: DiskLoss) -> bool:
        """Return whether every group is complete without the disk and all members have copied."""
        views = self._views()
        members = [(view["group"], member) for view in views for member in view["members"]]
        is_settled = not any(view["joining"] for view in views)
        is_left = all(member["disk_id"] not in loss.disks for _, member in members)
        is_whole = is_settled and is_left and len(members) >= loss.members
        return is_whole and all(_has_copied(group, member) for group, member in members)

    def _views(self) -> list[dict[str, Any]]:
        groups = self._world.store.get("yarrowwall-groups", "all")
        return groups["spec"]["groups"] if groups is not None else []


def _has_copied(group: int, member: dict[str, Any]) -> bool:
    """Return whether a member of a group reports that it counts for read quorums."""
    host, _, port = member["address"].partition(":")
    body = encode(AskStatus(group))
    try:
        with socket.create_connection((host, int(port)), timeout=_ANSWER_S) as conn:
            conn.sendall(_HEADER.pack(len(body), 1) + body)
            replies = conn.makefile("rb")
            length, _ = _HEADER.unpack(replies.read(_HEADER.size))
            reply = decode(replies.read(length))
    except (OSError, struct.error, MessageError):
        return False
    is_same = isinstance(reply, StatusReply) and reply.disk_id == member["disk_id"]
    return is_same and reply.is_reader
