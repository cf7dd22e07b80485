"""Relaying of answers that are passed on only once they are whole."""

from yarrowwall.relay import decisions
from yarrowwall.relay.exceptions import AnswerTimeoutError, RelayError
from yarrowwall.relay.model import Answer, Attempt, Route
from yarrowwall.relay.offer import Offer, OpenAnswer, RefusedError, RelayParts


def relay_whole(
    parts: RelayParts, attempt: Attempt, route: Route, offer: Offer
) -> tuple[Answer, bytes]:
    """Return a server's whole answer and its body.

    :raises RefusedError: if no server gave one.
    """
    while True:
        opened = offer.open()
        try:
            body = opened.connection.read_all(offer.remaining())
        except RelayError as error:
            offer.abandon()
            _note_broken(parts, attempt, opened, error)
            if route.is_repeatable and offer.can_go_on():
                continue
            raise RefusedError(offer.failure(str(error))) from error
        except BaseException:
            offer.abandon()
            raise
        server_id = opened.send.server.server_id
        offer.release()
        now = parts.now()
        parts.directory.note_pace(server_id, now - opened.sent_at, now)
        parts.stays.note(route.name, now - opened.sent_at)
        return opened.answer, body


def _note_broken(
    parts: RelayParts, attempt: Attempt, opened: OpenAnswer, error: RelayError
) -> None:
    server_id = opened.send.server.server_id
    if not isinstance(error, AnswerTimeoutError):
        parts.directory.note_failure(server_id, parts.now())
    parts.decisions.write(
        decisions.SendFailed(attempt.attempt_id, server_id, str(error), may_have_run=True)
    )
