"""Quorum arithmetic.

A decision needs a majority of a replica group. While a shard map changes, it needs
majorities of both the old and the new group (joint majorities), so any two decisions
share a replica.
"""

from collections.abc import Collection, Sequence

#: Number of replicas of each program, in different zones if there are enough zones.
REPLICAS_PER_SHARD = 3


def majority(size: int) -> int:
    """Return how many of ``size`` replicas form a majority."""
    return size // 2 + 1


def has_quorum(groups: Sequence[Collection[str]], acknowledged: Collection[str]) -> bool:
    """Return whether the acknowledging replicas form a majority of every group.

    :param groups: replica ids of each group; an empty group is never satisfied.
    :param acknowledged: ids of the replicas that agreed.
    """
    return all(
        sum(replica in acknowledged for replica in group) >= majority(len(group))
        for group in groups
    )
