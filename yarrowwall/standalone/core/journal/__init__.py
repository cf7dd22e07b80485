"""The replicated log of each program."""
