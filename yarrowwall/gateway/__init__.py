"""A caller's request: HTTP, keys and routes, the body, the answer or the refusal.

A gateway relays each attempt of a caller to a server itself. No owner and no forward between
gateways stands on the way. What must outlive a gateway (token budgets, turns of a conversation)
goes to the replicated record store through :mod:`yarrowwall.ports.programs`.
"""
