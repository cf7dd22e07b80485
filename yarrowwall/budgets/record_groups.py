"""The groups of replicas that keep a program's records, as a gateway reaches them."""

from collections.abc import Callable
from typing import NamedTuple

from yarrowwall.budgets.group_reachability import GroupReachability
from yarrowwall.budgets.zone_groups import ZoneGroups
from yarrowwall.decisions import DecisionLog
from yarrowwall.replication.quorum_client import QuorumClient


class RecordGroups(NamedTuple):
    """The groups, and what reads and writes their records.

    :param group_of: Returns the common group of a key; raises StoreUncertainError if there is none.
    :param zones: The groups of zones.
    :param reachability: Which groups have answered.
    """

    client: QuorumClient
    group_of: Callable[[str], int]
    zones: ZoneGroups
    reachability: GroupReachability
    log: DecisionLog
