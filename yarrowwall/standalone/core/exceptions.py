"""Exceptions of the core."""

from yarrowwall.exceptions import YarrowwallError


class CoreError(YarrowwallError):
    """Base class of the core's exceptions."""


class InvariantError(CoreError):
    """A state machine violated one of its invariants."""


class ConfigurationError(CoreError):
    """An intent, a plan or another change of the configuration was rejected."""


class StalePlanError(ConfigurationError):
    """A plan was computed on an outdated configuration.

    :param changed: changes since then, one line each.
    """

    def __init__(self, message: str, changed: list[str]) -> None:
        super().__init__(message)
        self.changed = changed
