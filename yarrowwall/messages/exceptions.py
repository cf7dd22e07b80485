"""Errors of the message layer."""

from yarrowwall.exceptions import YarrowwallError


class MessageError(YarrowwallError):
    """Base of the errors of this layer."""


class UnknownMessageError(MessageError):
    """A frame carries a type code that no message has."""


class MalformedMessageError(MessageError):
    """A frame's body does not follow the schema of its type."""
