"""Relays answers that are buffered and passed on once they are complete."""

from yarrowwall.dispatch.components import DispatchComponents
from yarrowwall.dispatch.sender import AttemptSender
from yarrowwall.exceptions import RelayError
from yarrowwall.model import Answer, Route
from yarrowwall.policy.memory_budget import MemoryExhaustedError


def relay_buffered(
    components: DispatchComponents, route: Route, sender: AttemptSender
) -> tuple[Answer, bytes]:
    """Return a server's answer and its complete body.

    :raises RefusedError: if no server gave a complete answer.
    """
    while True:
        opened = sender.open()
        try:
            body = opened.connection.read_all(sender.left_s(), sender.hold_answer_memory)
        except MemoryExhaustedError as error:
            sender.cancel_oversized(error)
            raise sender.refused(str(error)) from error
        except RelayError as error:
            sender.cancel_answer()
            sender.note_failure(opened.send.server, error)
            if sender.rules.may_repeat(components.now()):
                continue
            raise sender.refused(str(error)) from error
        except BaseException:
            sender.cancel_answer()
            raise
        sender.finish_answer()
        now = components.now()
        components.directory.note_service_time(
            opened.send.server.incarnation, now - opened.sent_at, now
        )
        if route.is_repeatable:
            components.latencies.note(route.name, now - opened.sent_at)
        return opened.answer, body
