"""Rate limits of tenants, enforced across all gateways.

Each replica of a tenant's group issues permits from a fixed share of the tenant's limit. The shares
add up to the limit, so no replica needs to know what the others have issued. A gateway obtains a
permit from any replica that has some left before it sends a request to a server. See
docs/design/0007-tenants.md.
"""
