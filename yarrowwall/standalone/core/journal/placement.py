"""Selects the replicas that hold a program's log, from the shard map."""

from collections.abc import Sequence

from yarrowwall.hashing import rank, score
from yarrowwall.quorum import REPLICAS_PER_SHARD
from yarrowwall.standalone.core.configuration.models import ShardMap, ShardReplica
from yarrowwall.standalone.core.journal.proposer import ReplicaAddress, ReplicaGroups

#: Number of shards; all programs of a shard use the same replicas.
SHARDS = 4096
#: Number of replicas that store the distributed documents; fixed, so that it does
#: not grow with the fleet.
DOCUMENT_REPLICAS = 5

_DOCUMENTS_KEY = "documents"


def shard_of(program_id: str) -> int:
    """Return the shard of a program."""
    return score("shard", program_id) % SHARDS


def _choose(key: str, replicas: Sequence[ShardReplica], count: int) -> tuple[ReplicaAddress, ...]:
    """Return the highest-ranked replicas for a key, from as many zones as possible."""
    by_id = {replica.replica_id: replica for replica in replicas}
    ranked = [by_id[replica_id] for replica_id in rank(key, by_id)]
    chosen: list[ShardReplica] = []
    while len(chosen) < min(count, len(ranked)):
        zones_used: set[str] = set()
        for replica in ranked:
            fresh = replica not in chosen and replica.zone not in zones_used
            if fresh and len(chosen) < count:
                chosen.append(replica)
                zones_used.add(replica.zone)
    return tuple(ReplicaAddress(item.replica_id, item.node_id, item.zone) for item in chosen)


def _groups(key: str, shard_map: ShardMap, version: int, count: int) -> ReplicaGroups:
    groups = [_choose(key, shard_map.replicas, count)]
    if shard_map.next_replicas:
        groups.append(_choose(key, shard_map.next_replicas, count))
    return ReplicaGroups(version, tuple(groups))


def program_groups(program_id: str, shard_map: ShardMap, version: int) -> ReplicaGroups:
    """Return the replica groups of a program's log."""
    return _groups(_shard_key(shard_of(program_id)), shard_map, version, REPLICAS_PER_SHARD)


def all_groups(replicas: Sequence[ShardReplica]) -> set[frozenset[str]]:
    """Return the replica groups of all shards, as sets of replica ids."""
    groups = set()
    for shard in range(SHARDS):
        chosen = _choose(_shard_key(shard), replicas, REPLICAS_PER_SHARD)
        groups.add(frozenset(item.replica_id for item in chosen))
    return groups


def _shard_key(shard: int) -> str:
    return f"shard/{shard}"


def document_groups(shard_map: ShardMap, version: int) -> ReplicaGroups:
    """Return the replica groups that store the distributed documents."""
    return _groups(_DOCUMENTS_KEY, shard_map, version, DOCUMENT_REPLICAS)
