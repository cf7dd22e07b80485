"""Which gateways may forward requests for which others. No I/O."""

from itertools import islice

from yarrowwall.hashing import score
from yarrowwall.messages.relaying import Neighbour

#: Gateways of the own zone that a gateway is told: those that follow it by name, so that each
#: is a neighbour of as few, and others by turns. If a third of a zone is cut off at once, one of
#: 81 finds all four among them, until it is told others.
NEXT_BY_NAME = 2
OTHERS_BY_TURNS = 2
#: Gateways of other zones that a gateway is told, for zones of which all are cut off.
OF_OTHER_ZONES = 1
#: Seconds after which a gateway that has asked no more is told to nobody: three questions.
FORGET_SECONDS = 15.0
#: Gateways that are remembered at most; each takes some 300 bytes.
MOST_GATEWAYS = 4096


class NeighbourRegistry:
    """The gateways that asked for neighbours lately."""

    def __init__(self) -> None:
        self._known: dict[str, Neighbour] = {}
        self._asked_s: dict[str, float] = {}
        self._turn = 0

    def ask(self, gateway: Neighbour, now_s: float) -> list[Neighbour]:
        """Take in a gateway; return neighbours of it."""
        self._take(gateway, now_s)
        self._turn += 1
        names = sorted(name for name, one in self._known.items() if one.zone == gateway.zone)
        place = names.index(gateway.node_id)
        after = names[place + 1 :] + names[:place]
        near, rest = after[:NEXT_BY_NAME], after[NEXT_BY_NAME:]
        start = self._turn % len(rest) if rest else 0
        near += (rest[start:] + rest[:start])[:OTHERS_BY_TURNS]
        return [self._known[name] for name in near + self._far(gateway)]

    def _take(self, gateway: Neighbour, now_s: float) -> None:
        # The newest stand last, so those that ask no more are found first.
        self._asked_s.pop(gateway.node_id, None)
        self._asked_s[gateway.node_id] = now_s
        self._known[gateway.node_id] = gateway
        while True:
            oldest = next(iter(self._asked_s))
            is_full = len(self._asked_s) > MOST_GATEWAYS
            if self._asked_s[oldest] >= now_s - FORGET_SECONDS and not is_full:
                return
            del self._asked_s[oldest], self._known[oldest]

    def _far(self, gateway: Neighbour) -> list[str]:
        """Return gateways of other zones, spread over those that ask."""
        names = [name for name, one in self._known.items() if one.zone != gateway.zone]
        spread = sorted(names, key=lambda name: score(gateway.node_id, name))
        return list(islice(spread, OF_OTHER_ZONES))
