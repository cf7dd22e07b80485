"""A scheduler for a site of its own: the nodes of ``yarrowwall node``.

Nodes own programs, keep their journals and agree on configurations among themselves; nothing
of it runs on the users' platform. What both share (messages, storage, hashing, quorums) lies
beside this package; it imports none of the platform's parts, and they import none of it.
"""
