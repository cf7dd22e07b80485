"""Root of the exception tree, and the errors that several layers share.

Every layer derives its own base from :class:`YarrowwallError` and converts what it catches from
the layer below.
"""

from enum import StrEnum


class YarrowwallError(Exception):
    """Base of every error this project raises on purpose."""


class SettingsError(YarrowwallError):
    """A settings file has faults.

    :param faults: one line a fault: key, value and what is allowed.
    """

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


class RelayError(YarrowwallError):
    """Base of the errors of a request's way through a gateway."""


class ConnectError(RelayError):
    """No connection to a server came about; nothing was sent."""


class ConnectTimeoutError(ConnectError):
    """No connection came up in time: the server is silent, or its machine dark."""


class ConnectionBrokenError(RelayError):
    """A connection ended or failed before the answer was whole; the request may have run."""


class AnswerTimeoutError(RelayError):
    """The answer did not come in time; the request may have run."""


class MalformedAnswerError(RelayError):
    """A server sent bytes that are no answer to this request; the request may have run."""


class InvalidAttemptError(RelayError):
    """A caller's request is malformed.

    :param status: the HTTP status to answer with.
    """

    def __init__(self, message: str, status: int = 400) -> None:
        super().__init__(message)
        self.status = status


class CallerDisconnectedError(YarrowwallError):
    """The caller closed its connection; its attempt is to be cancelled.

    Raised in the middle of whatever is done for the caller. It is no :class:`RelayError`, so that
    nothing takes it for a server's failure and asks the next one.
    """


class EntryFault(StrEnum):
    """What is wrong with an entry of the list of servers."""

    UNREADABLE = "unreadable"
    BAD_NAME = "bad_name"
    MISSING_FIELD = "missing_field"
    WRONG_TYPE = "wrong_type"
    BAD_ADDRESS = "bad_address"
    UNKNOWN_STATE = "unknown_state"
    UNKNOWN_SERVICE = "unknown_service"
    OUT_OF_RANGE = "absurd_figure"
    DUPLICATE_ID = "doubled_id"
    DUPLICATE_ADDRESS = "doubled_address"


class UnusableEntryError(RelayError):
    """An entry of the list of servers names no server to use.

    :param fault: what is wrong with it.
    :param name: the field that is.
    """

    def __init__(self, fault: EntryFault, name: str) -> None:
        super().__init__(f"{fault}: {name}")
        self.fault = fault
        self.name = name


class TurnUnknownError(RelayError):
    """A quorum of replicas does not know the turn that a request goes on from."""


class StoreUncertainError(RelayError):
    """Too few replicas answered; whether a record exists cannot be told."""


class BudgetExhaustedError(RelayError):
    """A program's budget does not hold one more turn."""
