"""Relaying of answers that are passed on only once they are whole."""

from yarrowwall.dispatch.offer import Offer, RelayParts
from yarrowwall.exceptions import RelayError
from yarrowwall.model import Answer, Route
from yarrowwall.policy.memory_budget import MemoryExhaustedError
from yarrowwall.refusals import RefusedError


def relay_whole(parts: RelayParts, route: Route, offer: Offer) -> tuple[Answer, bytes]:
    """Return a server's whole answer and its body.

    :raises RefusedError: if no server gave one.
    """
    while True:
        opened = offer.open()
        try:
            body = opened.connection.read_all(offer.remaining(), offer.hold_answer)
        except MemoryExhaustedError as error:
            offer.abandon()
            raise RefusedError(offer.failure(str(error))) from error
        except RelayError as error:
            offer.abandon()
            offer.note_failure(opened.send.server, error)
            if route.is_repeatable and offer.can_go_on():
                continue
            raise RefusedError(offer.failure(str(error))) from error
        except BaseException:
            offer.abandon()
            raise
        life = opened.send.server.life
        offer.release()
        now = parts.now()
        parts.directory.note_pace(life, now - opened.sent_at, now)
        if route.is_repeatable:
            parts.latencies.note(route.name, now - opened.sent_at)
        return opened.answer, body
