"""Deterministic simulation of a deployment on a virtual clock.

The nodes are the same :class:`yarrowwall.standalone.core.node.NodeCore` that the runtime
uses. All randomness comes from generators that are seeded with the run's seed.
"""
