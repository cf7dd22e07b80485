"""Keeps a list of gateways that can forward requests, before this one needs them."""

import eventlet

from yarrowwall.hashing import fraction
from yarrowwall.messages.relaying import AskNeighbours, Neighbour, NeighboursReply
from yarrowwall.replication.exceptions import LinkDownError
from yarrowwall.replication.group_views import GroupViews
from yarrowwall.replication.relayed_links import RelayedLinkTable

#: Seconds between two requests, varied by the machine's name: 78 gateways send 16 requests a
#: second, and a replica lists a gateway that is gone for 15 s at most.
ASK_INTERVAL_SECONDS = 5.0
#: The same until a request has been answered.
FIRST_ASK_INTERVAL_SECONDS = 0.5
REPLY_TIMEOUT_SECONDS = 0.3


class NeighbourFinder:
    """Periodically asks a replica for neighbours.

    :param own: this gateway, as it is listed to others.
    """

    def __init__(self, own: Neighbour, views: GroupViews, links: RelayedLinkTable) -> None:
        self._own = own
        self._views = views
        self._links = links
        self._replica_index = 0

    def start(self) -> None:
        """Start asking in the background."""
        eventlet.spawn_n(self._run)

    def _run(self) -> None:
        spread = 0.75 + 0.5 * fraction("neighbours", self._own.node_id)
        while True:
            has_found = self._ask()
            eventlet.sleep(
                (ASK_INTERVAL_SECONDS if has_found else FIRST_ASK_INTERVAL_SECONDS) * spread
            )

    def _ask(self) -> bool:
        """Send one request; return whether it was answered."""
        members = self._views.report_replicas()
        if not members:
            return False
        # The index moves to the next replica when one does not answer.
        member = members[self._replica_index % len(members)]
        try:
            reply = self._links.get(member.address).call(
                AskNeighbours(self._own), REPLY_TIMEOUT_SECONDS
            )
        except LinkDownError:
            self._replica_index += 1
            return False
        if isinstance(reply, NeighboursReply):
            self._links.paths.replace_neighbours(reply.neighbours)
        return True
