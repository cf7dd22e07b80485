"""Interface to the platform that a machine runs on, which the platform's adapter implements."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from yarrowwall.model import (
    Answer,
    Attempt,
    Configuration,
    Header,
    Incarnation,
    ResponseHead,
    Send,
    Server,
)
from yarrowwall.ports.object_store import ObjectStore, StoredObject
from yarrowwall.refusals import Refusal


class CallerProtocol(Protocol):
    """Translates between callers' requests and attempts."""

    def read_attempt(self, environ: dict[str, Any], now: float) -> Attempt:
        """Return the attempt that a request makes, without its body.

        :raises InvalidAttemptError: if it is malformed.
        """

    def answer_headers(self, answer: Answer) -> list[Header]:
        """Return the headers of a server's answer that are sent to the caller."""

    def refusal_headers(self, attempt_id: str, refusal: Refusal) -> list[Header]:
        """Return the headers of a refusal by the gateway itself."""


class ServerProtocol(Protocol):
    """Translates between attempts and requests to servers."""

    def request_bytes(self, attempt: Attempt, send: Send) -> bytes:
        """Return the bytes of the request for one send of an attempt."""

    def read_answer(self, attempt: Attempt, send: Send, head: ResponseHead) -> Answer:
        """Return the answer that a response head stands for."""


class Documents(Protocol):
    """Reads the platform's objects, and names their kinds."""

    servers_kind: str
    configuration_kind: str
    configuration_name: str
    retirements_kind: str

    def server(self, item: StoredObject) -> Server:
        """Return the server that an entry describes.

        :raises UnusableEntryError: if the entry describes no usable server.
        """

    def server_incarnation(self, item: StoredObject) -> Incarnation:
        """Return the incarnation in an entry, with the fields that are readable."""

    def configuration(self, item: StoredObject) -> Configuration | None:
        """Return the operators' configuration; None if the object holds something else."""

    def retirement_status(self, is_complete: bool) -> dict[str, Any]:
        """Return the status to report for a machine that is being retired."""


@dataclass(frozen=True)
class Adapter:
    """The components that adapt a machine to its platform.

    :param make_store: returns a new client of the platform store.
    """

    callers: CallerProtocol
    servers: ServerProtocol
    documents: Documents
    make_store: Callable[[], ObjectStore]
    readiness_path: str
