"""Errors of the replication layer."""

from yarrowwall.exceptions import YarrowwallError


class ReplicationError(YarrowwallError):
    """Base of the errors of this layer."""


class FrameError(ReplicationError):
    """A peer sent a frame that is too long or holds no valid message."""


class LinkDownError(ReplicationError):
    """A machine cannot be reached, or did not answer in time."""


class NoNeighbourError(ReplicationError):
    """No neighbour forwarded a request in time."""


class NoQuorumError(ReplicationError):
    """Too few replicas answered in time; a write may be complete nevertheless."""


class NoRoomError(NoQuorumError):
    """Too few replicas have room for the records of a new program."""
