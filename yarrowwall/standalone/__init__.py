"""The standalone scheduler: the nodes of ``yarrowwall node``.

Nodes own programs, keep their journals and agree on configurations among themselves, without
the platform that the other deployment runs on. Code that both deployments share (messages,
storage, hashing, quorums) is outside this package. This package and the platform packages
don't import each other.
"""
