"""Rules for admission, server choice, priorities, retries and timeouts.

The rules do no I/O: they are given all input as arguments, including the time, and most keep the
few figures that they decide from. docs/DECISIONS.md has a row for each.
"""
