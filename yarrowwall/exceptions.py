"""Base class of all exceptions, and exceptions that several layers share.

Every layer derives its own base class from :class:`YarrowwallError` and converts exceptions of
the layer below.
"""

from enum import StrEnum


class YarrowwallError(Exception):
    """Base class of all exceptions that this project raises."""


class SettingsError(YarrowwallError):
    """A settings file is invalid.

    :param faults: one line per fault: key, value and what is allowed.
    """

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


class RelayError(YarrowwallError):
    """Base class of errors in processing a request at a gateway."""


class ConnectError(RelayError):
    """A connection to a server could not be opened; nothing was sent."""


class ConnectTimeoutError(ConnectError):
    """A connection could not be opened in time; the server or its machine may be unreachable."""


class ConnectRefusedError(ConnectError):
    """A connection was refused: nothing listens at the address."""


class ConnectionBrokenError(RelayError):
    """A connection ended or failed before the answer was complete; the request may have run."""


class AnswerTimeoutError(RelayError):
    """The answer did not arrive in time; the request may have run."""


class MalformedAnswerError(RelayError):
    """A server sent bytes that do not answer this request; the request may have run."""


class StreamPositionError(RelayError):
    """A stream lacks the event after which its caller resumes it; the request has run."""


class InvalidAttemptError(RelayError):
    """A caller's request is malformed.

    :param status: the HTTP status to answer with.
    """

    def __init__(self, message: str, status: int = 400) -> None:
        super().__init__(message)
        self.status = status


class CallerDisconnectedError(YarrowwallError):
    """The caller closed its connection; its attempt must be cancelled.

    It may be raised at any point of the request's processing. It is not a :class:`RelayError`, so
    that it is not handled as a server's failure and the next server is not tried.
    """


class GatewayStoppingError(YarrowwallError):
    """The process is about to end; a request without a response gets its final one now.

    Like :class:`CallerDisconnectedError`, it may be raised at any point of the processing.
    """


class EntryFault(StrEnum):
    """What is wrong with an entry of the server list."""

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
    """An entry of the server list describes no usable server.

    :param fault: what is wrong with the entry.
    :param name: the field at fault.
    """

    def __init__(self, fault: EntryFault, name: str) -> None:
        super().__init__(f"{fault}: {name}")
        self.fault = fault
        self.name = name


class TurnUnknownError(RelayError):
    """A quorum of replicas does not know the turn that a request continues."""


class StreamUnknownError(RelayError):
    """No record tells which software began the stream that a caller resumes."""


class StoreUncertainError(RelayError):
    """Too few replicas answered to determine whether a record exists."""


class BudgetExhaustedError(RelayError):
    """A program's token budget does not suffice for another turn.

    :param is_final: whether turns that have ended leave too little; otherwise turns that have not
        ended hold tokens that they may release.
    """

    def __init__(self, message: str, is_final: bool) -> None:
        super().__init__(message)
        self.is_final = is_final
