"""Collects the effects of one event in order."""

from yarrowwall.messages.codec import encode
from yarrowwall.messages.peers import ForwardReply
from yarrowwall.messages.requests import Reply
from yarrowwall.standalone.core.effects import Effect, ReplyToCaller, SendToPeer, StreamRoute


class Outbox:
    """Effects that wait for the driver.

    :param node_id: id of this node, to distinguish local callers from remote ones.
    """

    def __init__(self, node_id: str) -> None:
        self.node_id = node_id
        self._effects: list[Effect] = []

    def emit(self, effect: Effect) -> None:
        """Add an effect."""
        self._effects.append(effect)

    def reply(self, route: StreamRoute, reply: Reply) -> None:
        """Send a final reply to the gateway that holds the caller's connection."""
        self.emit(self.reply_effect(route, reply))

    def reply_effect(self, route: StreamRoute, reply: Reply) -> Effect:
        """Return the effect that delivers a final reply."""
        if route.gateway == self.node_id:
            return ReplyToCaller(route.request_id, reply)
        return SendToPeer(route.gateway, ForwardReply(route.request_id, encode(reply)))

    def take(self) -> list[Effect]:
        """Return the collected effects and clear the outbox."""
        effects = self._effects
        self._effects = []
        return effects
