"""An attempt at servers: which is asked, how often, and what comes back.

Owns connections to servers and the bytes on their way through them. The rules (which server, how
long to wait, whether to send again) stand in :mod:`yarrowwall.policy`.
"""
