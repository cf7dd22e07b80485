"""Learns of gateways that forward requests, before this one needs them."""

import eventlet

from yarrowwall.hashing import fraction
from yarrowwall.messages.relaying import AskNeighbours, Neighbour, NeighboursReply
from yarrowwall.replication.exceptions import LinkDownError
from yarrowwall.replication.group_views import GroupViews
from yarrowwall.replication.relayed_links import RelayedLinkTable

#: Seconds between two questions, spread by the machine's name: 78 gateways ask 16 times a second,
#: and a neighbour that is gone is told for 15 s at most.
ASK_SECONDS = 5.0
#: The same until neighbours are known.
FIRST_SECONDS = 0.5
ANSWER_SECONDS = 0.3


class NeighbourFinder:
    """Asks a replica for neighbours, again and again.

    :param own: this gateway, as others are told of it.
    """

    def __init__(self, own: Neighbour, views: GroupViews, links: RelayedLinkTable) -> None:
        self._own = own
        self._views = views
        self._links = links
        self._board = 0

    def start(self) -> None:
        """Begin to ask."""
        eventlet.spawn_n(self._run)

    def _run(self) -> None:
        spread = 0.75 + 0.5 * fraction("neighbours", self._own.node_id)
        while True:
            has_found = self._ask()
            eventlet.sleep((ASK_SECONDS if has_found else FIRST_SECONDS) * spread)

    def _ask(self) -> bool:
        """Ask once; return whether there was an answer."""
        members = self._views.report_replicas()
        if not members:
            return False
        # The next one if it does not answer.
        member = members[self._board % len(members)]
        try:
            reply = self._links.get(member.address).call(AskNeighbours(self._own), ANSWER_SECONDS)
        except LinkDownError:
            self._board += 1
            return False
        if isinstance(reply, NeighboursReply):
            self._links.paths.replace_neighbours(reply.neighbours)
        return True
