"""Errors of the core."""

from yarrowwall.exceptions import YarrowwallError


class CoreError(YarrowwallError):
    """Base of the errors of the core."""


class InvariantError(CoreError):
    """A state machine reached a state that its rules exclude."""


class ConfigurationError(CoreError):
    """An intent or a plan cannot be accepted."""


class StalePlanError(ConfigurationError):
    """A plan was computed on a configuration that is no longer in force.

    :param changed: what changed since, one line each.
    """

    def __init__(self, message: str, changed: list[str]) -> None:
        super().__init__(message)
        self.changed = changed
