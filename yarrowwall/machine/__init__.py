"""What runs on one machine of the platform, put together: gateway role, replica role, settings.

Everything that is wired is made here; no other package makes parts of a process by itself.
"""
