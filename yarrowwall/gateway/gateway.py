"""The WSGI application that answers callers."""

from collections.abc import Callable, Iterable
from typing import Any

from yarrowwall.gateway.exchange import Exchange
from yarrowwall.gateway.state import GatewayState


class Gateway(GatewayState):
    """Relays callers' attempts to servers."""

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer one request."""
        return Exchange(self, environ, start_response)
