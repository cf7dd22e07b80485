"""What a machine needs of the platform it runs on; the platform's adapter gives it."""

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
        """Return the attempt of a request without its body.

        :raises InvalidAttemptError: if it is malformed.
        """

    def answer_headers(self, answer: Answer) -> list[Header]:
        """Return the headers of a server's answer that the caller gets."""

    def refusal_headers(self, attempt_id: str, refusal: Refusal) -> list[Header]:
        """Return the headers of an answer of the gateway itself."""


class ServerProtocol(Protocol):
    """Translates between attempts and what servers are sent."""

    def request_bytes(self, attempt: Attempt, send: Send) -> bytes:
        """Return the bytes of one sending."""

    def read_answer(self, attempt: Attempt, send: Send, head: ResponseHead) -> Answer:
        """Return what a response head means."""


class Documents(Protocol):
    """Reads the platform's objects; names their kinds."""

    servers_kind: str
    configuration_kind: str
    configuration_name: str
    retirements_kind: str

    def server(self, item: StoredObject) -> Server:
        """Return a listed server.

        :raises UnusableEntryError: if the entry names none.
        """

    def server_incarnation(self, item: StoredObject) -> Incarnation:
        """Return the incarnation that an entry tells of, as far as it can be read."""

    def configuration(self, item: StoredObject) -> Configuration | None:
        """Return the operators' configuration; None if the object holds something else."""

    def retirement_status(self, is_complete: bool) -> dict[str, Any]:
        """Return the status of a machine that is emptied."""


@dataclass(frozen=True)
class Adapter:
    """The platform's side of a machine.

    :param make_store: returns a client of the platform's store.
    """

    callers: CallerProtocol
    servers: ServerProtocol
    documents: Documents
    make_store: Callable[[], ObjectStore]
    readiness_path: str
