"""Decisions of a node as state machines without I/O.

Nothing in this package opens a socket, reads a clock, starts a thread or draws
a random number. A state machine takes typed events and the time and returns
typed effects, which the ``runtime`` and the ``simulation`` carry out.
"""
