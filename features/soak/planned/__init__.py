"""Planned work alone, beside streams under way: nothing may be cut."""
