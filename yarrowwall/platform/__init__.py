"""The adapter to the platform: its names, formats and calls.

This package makes no decisions, and no other package uses the platform's names.
"""
