"""Log lines about objects of the platform's store that cannot be read."""

from yarrowwall import decisions
from yarrowwall.decisions import DecisionLog

#: Maximum number of refusals that are remembered to log each once and not with every list.
MAX_LOGGED_REFUSALS = 1000
#: Most characters of a name or a reason in a line.
MAX_TEXT = 200


class ObjectRefusals:
    """Logs each object of a kind that cannot be read, once until its reason changes."""

    def __init__(self, kind: str, log: DecisionLog) -> None:
        self._kind = kind
        self._log = log
        self._logged: dict[str, str] = {}

    def note(self, name: str, reason: str) -> None:
        """Log that an object cannot be read, unless that was logged already."""
        if self._logged.get(name) == reason:
            return
        if len(self._logged) >= MAX_LOGGED_REFUSALS:
            self._logged.clear()
        self._logged[name] = reason
        refused = decisions.ObjectRefused(self._kind, name[:MAX_TEXT], reason[:MAX_TEXT])
        self._log.write(refused)

    def clear(self, name: str) -> None:
        """Forget an object that was read, or is gone, so that later refusals are logged again."""
        self._logged.pop(name, None)
