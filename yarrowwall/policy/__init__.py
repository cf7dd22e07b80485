"""The rules that choose, admit, rank, retry and give up.

No I/O: each rule gets what it needs as arguments, the time among them, and most own the few
figures that they decide from. docs/DECISIONS.md has a row for each.
"""
