"""Errors of the replication layer."""

from yarrowwall.exceptions import YarrowwallError


class ReplicationError(YarrowwallError):
    """Base of the errors of this layer."""


class FrameError(ReplicationError):
    """A peer sent what is no message."""


class LinkDownError(ReplicationError):
    """A replica cannot be reached now."""


class NoNeighbourError(ReplicationError):
    """No neighbour could pass a request on now."""


class NoQuorumError(ReplicationError):
    """Too few replicas answered in time; a write may or may not be complete."""
