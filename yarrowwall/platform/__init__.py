"""The adapter to the users' platform: its names, formats and calls.

Nothing here decides, and nothing outside this package knows the platform's names.
"""
