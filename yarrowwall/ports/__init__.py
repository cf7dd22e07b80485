"""Interfaces between the components of a machine.

A component that needs another one takes it as one of these interfaces, so that the dependencies
between packages have no cycles.
"""
