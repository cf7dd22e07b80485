"""Exceptions of the message layer."""

from yarrowwall.exceptions import YarrowwallError


class MessageError(YarrowwallError):
    """Base class of the exceptions of this layer."""


class UnknownMessageError(MessageError):
    """A frame has a type code that no message has."""


class MalformedMessageError(MessageError):
    """A message or a frame's body does not match the schema of its type."""
