"""Model of the platform's object service: versions, compare-and-swap, watches."""

from dataclasses import dataclass

from yarrowwall.messages.peers import Document


@dataclass(frozen=True)
class WriteResult:
    """Result of a write.

    :param applied: False if the expected version isn't the current one.
    :param document: The current object; None if it doesn't exist.
    """

    applied: bool
    document: Document | None


class PlatformModel:
    """Versioned objects by name; each write of any object increments the revision."""

    def __init__(self) -> None:
        self._objects: dict[str, Document] = {}
        self._log: list[Document] = []

    @property
    def revision(self) -> int:
        """The number of writes so far."""
        return len(self._log)

    def read(self, name: str) -> Document | None:
        """Return an object; None if it doesn't exist."""
        return self._objects.get(name)

    def write(self, name: str, expected_version: int, body: bytes) -> WriteResult:
        """Write an object if it has the expected version; 0 means that it must not exist."""
        current = self._objects.get(name)
        version = current.version if current else 0
        if version != expected_version:
            return WriteResult(False, current)
        document = Document(name, version + 1, body)
        self._objects[name] = document
        self._log.append(document)
        return WriteResult(True, document)

    def changes_after(self, revision: int) -> list[Document]:
        """Return the writes after a revision, oldest first."""
        return self._log[revision:]

    def objects(self) -> list[Document]:
        """Return the current objects."""
        return list(self._objects.values())
