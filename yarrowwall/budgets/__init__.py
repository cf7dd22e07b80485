"""Programs' token budgets and turns, kept at the record store.

Owns the state of each turn under way in a gateway: what it reserved, what it emitted, what is still
to be settled. Relies on :mod:`yarrowwall.replication` for quorums; a gateway sees the interface
in :mod:`yarrowwall.ports.programs` alone.
"""
