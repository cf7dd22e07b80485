"""Handling of callers' requests: HTTP, API keys, routes, request bodies and responses.

A gateway sends each attempt to a server directly: requests are not forwarded between gateways,
and no gateway owns a program. State that must survive a gateway (token budgets, turns of a
conversation) is kept in the replicated record store, see :mod:`yarrowwall.ports.programs`.
"""
