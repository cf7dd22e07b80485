"""Exceptions of the runtime layer."""

from yarrowwall.exceptions import YarrowwallError


class RuntimeLayerError(YarrowwallError):
    """Base class of the runtime layer's exceptions."""


class FrameError(RuntimeLayerError):
    """A peer sent an invalid frame; its connection is closed."""


class InvalidRequestError(RuntimeLayerError):
    """A caller's or operator's request is malformed.

    :param status: HTTP status line of the response.
    """

    def __init__(self, message: str, status: str = "400 Bad Request") -> None:
        super().__init__(message)
        self.status = status
