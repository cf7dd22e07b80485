"""Messages between nodes that do not belong to the journal's protocol."""

from dataclasses import dataclass
from enum import StrEnum

from yarrowwall.messages.registry import message


class MemberStatus(StrEnum):
    """A member's status, as reported by itself or detected by others."""

    LIVE = "live"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(frozen=True)
class MemberRecord:
    """The state of one node in gossip messages.

    :param incarnation: increased at every start of the node.
    :param heartbeat: increased by the node itself in every gossip round.
    """

    node_id: str
    zone: str
    address: str
    incarnation: int
    heartbeat: int
    status: MemberStatus


@dataclass(frozen=True)
class DocumentVersion:
    """Name and version of a document that is in force at a node."""

    name: str
    version: int


@dataclass(frozen=True)
class Document:
    """A versioned object of the platform, as exchanged between nodes.

    :param body: its content as JSON.
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
    """A replica has stored the document, or a newer version of it."""

    name: str
    version: int
    replica_id: str


@message(12)
class FetchDocuments:
    """Ask a journal replica for the newest documents that it has stored."""

    requester: str


@message(13)
class FetchedDocuments:
    """The newest documents that a replica has stored."""

    replica_id: str
    documents: list[Document]


@message(20)
class Gossip:
    """One gossip round: the states of all members and the documents in force."""

    sender: str
    members: list[MemberRecord]
    documents: list[DocumentVersion]


@message(21)
class DocumentPush:
    """Send a document that the receiver lacks or has in an older version."""

    document: Document


@message(22)
class DocumentPull:
    """Request a document of which the receiver has a newer version."""

    requester: str
    name: str


@message(30)
class ForwardRequest:
    """A caller's request that is forwarded to the program's owner.

    :param hops: how often it was forwarded; limits loops between nodes whose views differ.
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
    """Bytes of an engine's event stream, forwarded unchanged.

    :param attempt: number of the attempt; bytes of different attempts are never mixed.
    :param offset: position of the first byte in the attempt's stream.
    :param text_length: characters of the answer up to the end of ``data``.
    """

    request_id: str
    attempt: int
    offset: int
    text_length: int
    data: bytes
