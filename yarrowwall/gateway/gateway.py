"""The application that answers callers."""

from collections.abc import Iterable

from yarrowwall.gateway.caller_connection import CallerRequest
from yarrowwall.gateway.exchange import Exchange
from yarrowwall.gateway.state import GatewayState


class Gateway(GatewayState):
    """Relays callers' attempts to servers."""

    def __call__(self, request: CallerRequest) -> Iterable[bytes]:
        """Answer one request."""
        return Exchange(self, request)
