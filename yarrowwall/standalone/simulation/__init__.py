"""Deterministic simulation of a deployment on a virtual clock.

The nodes are the same :class:`yarrowwall.standalone.core.node.NodeCore` that the runtime
drives. One seeded generator decides everything that is random.
"""
