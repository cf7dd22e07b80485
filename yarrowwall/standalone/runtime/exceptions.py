"""Errors of the runtime."""

from yarrowwall.exceptions import YarrowwallError


class RuntimeLayerError(YarrowwallError):
    """Base of the errors of this layer."""


class FrameError(RuntimeLayerError):
    """A peer sent a frame that cannot be taken; its connection is closed."""


class InvalidRequestError(RuntimeLayerError):
    """A caller's or operator's request is malformed.

    :param status: the HTTP status line to answer with.
    """

    def __init__(self, message: str, status: str = "400 Bad Request") -> None:
        super().__init__(message)
        self.status = status
