"""Limits of tenants' requests, kept over all gateways together.

Each replica of a tenant's group lends a fixed part of the tenant's limit: the parts add up to
the limit, so no replica needs to know what the others lend. A gateway borrows before it sends a
request to a server, from whichever replica has room. See docs/design/0007-tenants.md.
"""
