"""The platform's object service: versions, compare-and-swap, watches."""

from dataclasses import dataclass

from yarrowwall.messages.peers import Document


@dataclass(frozen=True)
class WriteResult:
    """The answer to a write.

    :param applied: False if the expected version was not the current one.
    :param document: the object after the write; None if there is none.
    """

    applied: bool
    document: Document | None


class PlatformModel:
    """Objects by name; every write of any object gets the next revision."""

    def __init__(self) -> None:
        self._objects: dict[str, Document] = {}
        self._log: list[Document] = []

    @property
    def revision(self) -> int:
        """The number of writes so far."""
        return len(self._log)

    def read(self, name: str) -> Document | None:
        """Return an object."""
        return self._objects.get(name)

    def write(self, name: str, expected_version: int, body: bytes) -> WriteResult:
        """Write an object if its version is the expected one; 0 if it must not exist."""
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
        """Return all objects as they are now."""
        return list(self._objects.values())
