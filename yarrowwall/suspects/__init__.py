"""Requests under which servers ended, known at all gateways.

A gateway that finds that a server has ended reports each request that it ran there to several
replicas, which tell all gateways at once. A request under which too many servers ended is sent
to no further one. See docs/design/0017-requests-that-end-servers.md.
"""
