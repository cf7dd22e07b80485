"""Names that callers choose so that they could be taken for those of another owner."""


def spellings(tenant_name: str, name: str) -> list[str]:
    """Return texts by which another caller may try to name a tenant's turn or program."""
    qualified = f"{len(tenant_name)}:{tenant_name}:{name}"
    return [
        name,
        qualified,
        f"0{qualified}",
        f"0::{qualified}",
        f"{tenant_name}:{name}",
        f"{tenant_name}/{name}",
        f"turn/{qualified}",
        f"turn/{name}",
        f"{len(tenant_name) - 1}:{tenant_name}:{name}",
        f"{qualified}/",
        f"/{qualified}",
    ]
