"""Programs' token budgets and turns, stored in the record store.

Holds the state of each turn running in a gateway: what it reserved, what it emitted, and what is
not settled yet. Uses :mod:`yarrowwall.replication` for quorum operations. A gateway uses only the
interface in :mod:`yarrowwall.ports.programs`.
"""
