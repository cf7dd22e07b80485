"""Chooses for each gateway the neighbours that may forward its requests. No I/O."""

from itertools import islice

from yarrowwall.hashing import score
from yarrowwall.messages.relaying import Neighbour

#: Neighbours in a gateway's own zone: its successors by name, so that each gateway is a successor
#: of equally few, and others in rotation. If a third of a zone is cut off at once, all four
#: neighbours of one gateway in 81 are cut off too, until it gets others.
SUCCESSORS = 2
ROTATING = 2
#: Neighbours in other zones, for the case that a whole zone is cut off.
FROM_OTHER_ZONES = 1
#: Seconds without a request after which a gateway is no longer listed: three missed requests.
EXPIRY_SECONDS = 15.0
#: Most gateways that are kept; each takes about 300 bytes.
MAX_GATEWAYS = 4096


class NeighbourRegistry:
    """The gateways that asked for neighbours recently."""

    def __init__(self) -> None:
        self._gateways: dict[str, Neighbour] = {}
        self._asked_s: dict[str, float] = {}
        self._rotation = 0

    def register(self, gateway: Neighbour, now_s: float) -> list[Neighbour]:
        """Record a gateway's request and return its neighbours."""
        self._record(gateway, now_s)
        self._rotation += 1
        names = sorted(name for name, one in self._gateways.items() if one.zone == gateway.zone)
        position = names.index(gateway.node_id)
        after = names[position + 1 :] + names[:position]
        nearest, rest = after[:SUCCESSORS], after[SUCCESSORS:]
        start = self._rotation % len(rest) if rest else 0
        nearest += (rest[start:] + rest[:start])[:ROTATING]
        return [self._gateways[name] for name in nearest + self._from_other_zones(gateway)]

    def _record(self, gateway: Neighbour, now_s: float) -> None:
        # Entries are ordered by their last request, so that expired ones come first.
        self._asked_s.pop(gateway.node_id, None)
        self._asked_s[gateway.node_id] = now_s
        self._gateways[gateway.node_id] = gateway
        while True:
            oldest = next(iter(self._asked_s))
            is_full = len(self._asked_s) > MAX_GATEWAYS
            if self._asked_s[oldest] >= now_s - EXPIRY_SECONDS and not is_full:
                return
            del self._asked_s[oldest], self._gateways[oldest]

    def _from_other_zones(self, gateway: Neighbour) -> list[str]:
        """Return gateways of other zones, a different choice for each gateway that asks."""
        names = [name for name, one in self._gateways.items() if one.zone != gateway.zone]
        ordered = sorted(names, key=lambda name: score(gateway.node_id, name))
        return list(islice(ordered, FROM_OTHER_ZONES))
