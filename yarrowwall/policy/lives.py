"""Which life of each server is the newest that was told of. No I/O."""

from collections import OrderedDict

from yarrowwall.model import ServerLife

#: Servers of which the newest life is remembered after they have gone. A list may be some
#: seconds old and still tell of a life that is over; servers come and go by dozens meanwhile.
MOST_REMEMBERED = 4096


class NewestLives:
    """The newest life of each server, also of those that have gone."""

    def __init__(self) -> None:
        self._newest: OrderedDict[str, ServerLife] = OrderedDict()

    def note(self, life: ServerLife) -> bool:
        """Take in that a life was told of; return False if a later one is known."""
        known = self._newest.get(life.server_id)
        if known is not None and life.is_before(known):
            return False
        self._newest[life.server_id] = life
        self._newest.move_to_end(life.server_id)
        if len(self._newest) > MOST_REMEMBERED:
            self._newest.popitem(last=False)
        return True
