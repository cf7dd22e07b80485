"""The platform's stand-ins with proxies in front of the store and all servers."""

from features.soak.proxy import Proxy
from features.support.platform_world import PlatformWorld


class ProxiedWorld(PlatformWorld):
    """Stand-ins and machines, with connections that can be made to fall silent."""

    def __init__(self) -> None:
        self.store_proxies: dict[str, Proxy] = {}
        self.server_proxies: dict[str, Proxy] = {}
        super().__init__()

    def store_address(self, name: str) -> str:
        """Return the store's address in a machine's settings."""
        if name not in self.store_proxies:
            direct = self.store.address_for(name)
            self.store_proxies[name] = Proxy(lambda: direct)
        return self.store_proxies[name].address

    def listed_address(self, server_id: str, address: str) -> str:
        """Return the address under which a server is listed."""
        if server_id not in self.server_proxies:
            self.server_proxies[server_id] = Proxy(lambda: address)
        return self.server_proxies[server_id].address

    def stop(self) -> None:
        """Stop all processes, stand-ins and proxies."""
        super().stop()
        for proxy in [*self.store_proxies.values(), *self.server_proxies.values()]:
            proxy.close()
