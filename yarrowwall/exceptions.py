"""Root of the exception tree.

Every layer derives its own base from :class:`YarrowwallError` in its own
``exceptions`` module and converts what it catches from the layer below.
"""


class YarrowwallError(Exception):
    """Base of every error this project raises on purpose."""


class SettingsError(YarrowwallError):
    """A settings file has faults.

    :param faults: one line a fault: key, value and what is allowed.
    """

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults
