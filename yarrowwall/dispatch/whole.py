"""Relaying of answers that are passed on only once they are whole."""

from yarrowwall.dispatch.parts import DispatchParts
from yarrowwall.dispatch.sender import AttemptSender
from yarrowwall.exceptions import RelayError
from yarrowwall.model import Answer, Route
from yarrowwall.policy.memory_budget import MemoryExhaustedError


def relay_whole(parts: DispatchParts, route: Route, sender: AttemptSender) -> tuple[Answer, bytes]:
    """Return a server's whole answer and its body.

    :raises RefusedError: if no server gave one.
    """
    while True:
        opened = sender.open()
        try:
            body = opened.connection.read_all(sender.left_s(), sender.hold_answer)
        except MemoryExhaustedError as error:
            sender.abandon()
            raise sender.refused(str(error)) from error
        except RelayError as error:
            sender.abandon()
            sender.note_failure(opened.send.server, error)
            if sender.rules.may_repeat(parts.now()):
                continue
            raise sender.refused(str(error)) from error
        except BaseException:
            sender.abandon()
            raise
        sender.release()
        now = parts.now()
        parts.directory.note_service_time(opened.send.server.incarnation, now - opened.sent_at, now)
        if route.is_repeatable:
            parts.latencies.note(route.name, now - opened.sent_at)
        return opened.answer, body
