"""Interfaces to the platform that a machine runs on; the platform adapter implements them."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from yarrowwall.model import (
    Answer,
    Attempt,
    Configuration,
    Header,
    Incarnation,
    RequestHead,
    ResponseHead,
    Send,
    Server,
)
from yarrowwall.ports.object_store import ObjectStore, StoredObject
from yarrowwall.refusals import Refusal


class CallerProtocol(Protocol):
    """Translates between callers' requests and attempts."""

    def read_attempt(self, head: RequestHead, now: float) -> Attempt:
        """Return the attempt of a request, without its body.

        :param now: when the request arrived, on the monotonic clock.
        :raises InvalidAttemptError: if the request is malformed.
        """

    def answer_headers(self, answer: Answer) -> list[Header]:
        """Return the headers of a server's answer that are passed to the caller."""

    def refusal_headers(self, attempt_id: str, refusal: Refusal) -> list[Header]:
        """Return the headers of a response made by the gateway."""


class ServerProtocol(Protocol):
    """Translates between attempts and HTTP messages of servers."""

    def request_bytes(self, attempt: Attempt, send: Send) -> bytes:
        """Return the bytes of a request to a server."""

    def read_answer(self, attempt: Attempt, send: Send, head: ResponseHead) -> Answer:
        """Return the interpretation of a response head."""


class Documents(Protocol):
    """Converts the platform's objects, and names their kinds."""

    servers_kind: str
    configuration_kind: str
    configuration_name: str
    retirements_kind: str

    def server(self, item: StoredObject) -> Server:
        """Return the server of an entry.

        :raises UnusableEntryError: if the entry describes no usable server.
        """

    def server_incarnation(self, item: StoredObject) -> Incarnation:
        """Return the incarnation of an entry; without a start time if that can't be read."""

    def configuration(self, item: StoredObject) -> Configuration | None:
        """Return the operators' configuration; None if the object is a different one."""

    def retirement_status(self, is_complete: bool) -> dict[str, Any]:
        """Return the status to store for a storage machine that is being retired."""


@dataclass(frozen=True)
class Adapter:
    """The implementation of these interfaces for a platform.

    :param make_store: returns a client of the platform store.
    :param readiness_path: path of the readiness check.
    """

    callers: CallerProtocol
    servers: ServerProtocol
    documents: Documents
    make_store: Callable[[], ObjectStore]
    readiness_path: str
