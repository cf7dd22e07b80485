"""The newest known incarnation of each server. No I/O."""

from collections import OrderedDict

from yarrowwall.model import Incarnation

#: Servers whose newest incarnation is kept after they have gone. A list may be some seconds old and
#: still name an incarnation that has ended, while dozens of servers come and go.
MAX_REMEMBERED = 4096


class NewestIncarnations:
    """The newest incarnation of each server, including servers that have gone."""

    def __init__(self) -> None:
        self._newest: OrderedDict[str, Incarnation] = OrderedDict()

    def note(self, incarnation: Incarnation) -> bool:
        """Record an incarnation; return False if a later one is known."""
        known = self._newest.get(incarnation.server_id)
        if known is not None and incarnation.is_before(known):
            return False
        self._newest[incarnation.server_id] = incarnation
        self._newest.move_to_end(incarnation.server_id)
        if len(self._newest) > MAX_REMEMBERED:
            self._newest.popitem(last=False)
        return True
