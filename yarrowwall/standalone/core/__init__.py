"""A node's decisions, written as state machines without I/O.

Nothing in this package opens a socket, reads a clock, starts a thread or draws
a random number. A state machine receives typed events with the current time and
returns typed effects, which the ``runtime`` or the ``simulation`` carries out.
"""
