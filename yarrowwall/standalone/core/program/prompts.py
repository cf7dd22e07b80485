"""Digests of requests, and prefix blocks of prompts."""

from yarrowwall.hashing import PrefixBlock, chain, digest
from yarrowwall.messages.entries import (
    ChatMessage,
)
from yarrowwall.messages.requests import (
    SubmitCall,
)
from yarrowwall.standalone.core.program.state import (
    count_message_tokens,
)


def request_digest(request: SubmitCall) -> str:
    """Return a digest that is equal for equal requests of one call."""
    parts = [request.model, str(request.max_tokens), str(request.repeatable)]
    for message in request.messages:
        parts += [message.role, message.content]
    return digest(*parts)


def prompt_blocks(messages: list[ChatMessage]) -> tuple[PrefixBlock, ...]:
    """Return the prefix blocks of a prompt, one per message."""
    contents = [
        (digest(message.role, message.content), count_message_tokens([message]))
        for message in messages
    ]
    return chain(contents)
