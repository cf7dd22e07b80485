"""The processes of a machine: the gateway role, the replica role, and their settings.

This package wires the components together; no other package creates them for a process.
"""
