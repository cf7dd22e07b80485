"""Request bodies of the HTTP API, validated by pydantic."""

from typing import Literal, TypeVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from yarrowwall.messages.entries import ChatMessage
from yarrowwall.standalone.runtime.exceptions import InvalidRequestError

Body = TypeVar("Body", bound=BaseModel)

#: Maximum size of a request body.
MAX_BODY_BYTES = 8 * 1024 * 1024


class _Body(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)


class OpenProgramBody(_Body):
    """Body of ``POST /v1/programs``."""

    tenant: str = Field(min_length=1, max_length=200)
    desk: str = Field(min_length=1, max_length=200)
    budget_tokens: int | None = Field(default=None, gt=0, le=10**12)
    parent_program: str | None = Field(default=None, max_length=300)


class MessageBody(_Body):
    """One message of a chat completion request."""

    role: Literal["system", "user", "assistant", "tool"]
    content: str


class ChatCompletionBody(_Body):
    """Body of ``POST /v1/chat/completions``."""

    model: str = Field(min_length=1, max_length=200)
    messages: list[MessageBody] = Field(min_length=1, max_length=2000)
    max_tokens: int | None = Field(default=None, gt=0, le=1_000_000)
    max_completion_tokens: int | None = Field(default=None, gt=0, le=1_000_000)
    stream: bool = False

    def chat_messages(self) -> list[ChatMessage]:
        """Return the messages in the core's type."""
        return [ChatMessage(message.role, message.content) for message in self.messages]


class LookupBody(_Body):
    """Body of ``POST /v1/lookups``."""

    kind: str = Field(min_length=1, max_length=200)
    key: str = Field(min_length=1, max_length=500)


class ReplaceReplicaBody(_Body):
    """Body of ``POST /v1/operator/replicas/ID/replace``."""

    replica_id: str = Field(min_length=1, max_length=200)
    node_id: str = Field(min_length=1, max_length=200)
    zone: str = Field(min_length=1, max_length=200)


def parse_body(model: type[Body], data: bytes) -> Body:
    """Parse and validate a JSON body.

    :raises InvalidRequestError: With all validation errors in its message.
    """
    try:
        return model.model_validate_json(data)
    except ValidationError as error:
        faults = [
            f"{'.'.join(str(part) for part in fault['loc']) or 'body'}: {fault['msg']}"
            for fault in error.errors()
        ]
        raise InvalidRequestError("; ".join(faults)) from error
