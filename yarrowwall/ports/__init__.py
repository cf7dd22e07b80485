"""Interfaces between the packages of a machine.

A package that uses another one depends on an interface here, so that dependencies have one
direction only.
"""
