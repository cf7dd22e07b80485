"""Responses that a gateway makes itself instead of a server."""

from dataclasses import dataclass
from http import HTTPStatus

from yarrowwall.exceptions import RelayError


@dataclass(frozen=True)
class Refusal:
    """A response made by the gateway.

    :param retry_after_s: seconds after which the caller should retry; None if it should not.
    """

    status: int
    reason: str
    retry_after_s: float | None = None


class RefusedError(RelayError):
    """A request is refused by the gateway.

    :param refusal: the response to send.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal


def unavailable(reason: str, retry_after_s: float) -> RefusedError:
    """Return a 503 refusal of a request that has certainly not run and never will."""
    return RefusedError(Refusal(HTTPStatus.SERVICE_UNAVAILABLE, reason, retry_after_s))
