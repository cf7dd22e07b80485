"""Final answers that a gateway gives by itself."""

from dataclasses import dataclass
from http import HTTPStatus

from yarrowwall.exceptions import RelayError


@dataclass(frozen=True)
class Refusal:
    """A final answer that the gateway gives itself.

    :param retry_after_s: until the caller should come back; None if it should not.
    """

    status: int
    reason: str
    retry_after_s: float | None = None


class RefusedError(RelayError):
    """A request is answered by the gateway itself.

    :param refusal: the final answer.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal


def unavailable(reason: str, retry_after_s: float) -> RefusedError:
    """Return the refusal of a request that surely has not run and never will."""
    return RefusedError(Refusal(HTTPStatus.SERVICE_UNAVAILABLE, reason, retry_after_s))
