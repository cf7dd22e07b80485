"""Messages between nodes other than those of the journal."""

from dataclasses import dataclass
from enum import StrEnum

from yarrowwall.messages.registry import message


class MemberStatus(StrEnum):
    """A member's status, as it says itself or as others found."""

    LIVE = "live"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(frozen=True)
class MemberRecord:
    """What gossip carries about one node.

    :param incarnation: raised at every start of the node.
    :param heartbeat: raised by the node itself every gossip round.
    """

    node_id: str
    zone: str
    address: str
    incarnation: int
    heartbeat: int
    status: MemberStatus


@dataclass(frozen=True)
class DocumentVersion:
    """Name and version of a document a node has in force."""

    name: str
    version: int


@dataclass(frozen=True)
class Document:
    """A versioned object of the platform as the nodes spread it.

    :param body: JSON.
    """

    name: str
    version: int
    body: bytes


@message(10)
class StoreDocument:
    """Ask a journal replica to store a document durably."""

    document: Document


@message(11)
class DocumentStored:
    """A replica stored the document, or has a newer version."""

    name: str
    version: int
    replica_id: str


@message(12)
class FetchDocuments:
    """Ask a journal replica for the newest documents it stored."""

    requester: str


@message(13)
class FetchedDocuments:
    """The newest documents a replica stored."""

    replica_id: str
    documents: list[Document]


@message(20)
class Gossip:
    """One gossip round: who is alive and which documents are in force."""

    sender: str
    members: list[MemberRecord]
    documents: list[DocumentVersion]


@message(21)
class DocumentPush:
    """A document the receiver's digest lacked."""

    document: Document


@message(22)
class DocumentPull:
    """Ask for a document of which the receiver has a newer version."""

    requester: str
    name: str


@message(30)
class ForwardRequest:
    """A caller's request on its way to the program's owner.

    :param hops: how often it was forwarded; bounds loops between views.
    :param body: the encoded request.
    """

    request_id: str
    origin: str
    hops: int
    body: bytes


@message(31)
class ForwardReply:
    """The owner's final reply.

    :param body: the encoded reply.
    """

    request_id: str
    body: bytes


@message(32)
class StreamChunk:
    """Bytes of an engine's event stream, relayed as they came.

    :param attempt: bytes of different attempts are never mixed.
    :param offset: position of the first byte in the attempt's stream.
    :param text_length: characters of the answer up to the end of ``data``.
    """

    request_id: str
    attempt: int
    offset: int
    text_length: int
    data: bytes
