"""The platform store as a separate process, for many machines."""

import bisect
import http.client
import json
import subprocess
import sys
import threading
from collections import defaultdict
from typing import Any

from features.support.platform_world import ROOT
from features.support.zoned_world import PatientStore

_ANSWER_S = 20.0
#: Number of changes of each kind that are kept for watches.
_KEPT_CHANGES = 2_000

_Change = tuple[int, dict[str, Any], bool]


class IndexedStore(PatientStore):
    """A store whose watches read and are woken by changes of their own kind only."""

    def __init__(self, machines: int) -> None:
        super().__init__(machines)
        shared = threading.RLock()
        self.lock = threading.Condition(shared)
        self._conditions = defaultdict(lambda: threading.Condition(shared))
        self._changes: defaultdict[str, list[_Change]] = defaultdict(list)

    def _change(self, kind: str, name: str, spec: Any, status: Any) -> dict[str, Any]:
        item = super()._change(kind, name, spec, status)
        self._move_change(kind)
        return item

    def _gone(self, kind: str, name: str) -> None:
        before = self.revision
        super()._gone(kind, name)
        if self.revision != before:
            self._move_change(kind)

    def _move_change(self, kind: str) -> None:
        """Move the newest change to the list of its kind and wake its watches."""
        at, _, item, gone = self.history.pop()
        changes = self._changes[kind]
        changes.append((at, item, gone))
        del changes[:-_KEPT_CHANGES]
        self._conditions[kind].notify_all()

    def _watch(
        self, kind: str, revision: int, wait_ms: int, machine: str
    ) -> tuple[int, dict[str, Any]]:
        changes = self._changes[kind]
        if changes and len(changes) == _KEPT_CHANGES and revision < changes[0][0] - 1:
            return http.client.GONE, {}
        self._conditions[kind].wait_for(
            lambda: changes and changes[-1][0] > revision, timeout=wait_ms / 1000.0
        )
        first = bisect.bisect_right(changes, revision, key=lambda change: change[0])
        events = [{"object": item, "gone": gone} for _, item, gone in changes[first:]]
        return http.client.OK, {"events": events, "at": self.revision}


class StoreProcess:
    """Client of the store process, as operators and servers use it."""

    def __init__(self, machines: int) -> None:
        self._process = subprocess.Popen(
            [sys.executable, "-W", "ignore", "-m", "features.soak.planned.store", str(machines)],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        self.address = self._process.stdout.readline().decode().strip()

    def put(self, kind: str, name: str, spec: dict[str, Any]) -> None:
        """Write an object as the operators or servers do."""
        known = self._ask("POST", f"/objects/{kind}", {"meta": {"name": name}, "spec": spec})
        if known is not None:
            self._ask("PUT", f"/objects/{kind}/{name}", {"spec": spec})

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        self._ask("DELETE", f"/objects/{kind}/{name}")

    def get(self, kind: str, name: str) -> dict[str, Any] | None:
        """Return an object."""
        return self._ask("GET", f"/objects/{kind}/{name}")

    def stop(self) -> None:
        """Kill the process."""
        self._process.kill()
        self._process.wait()

    def _ask(self, method: str, path: str, body: object = None) -> dict[str, Any] | None:
        """Return an existing object; None if it is new or not found."""
        host, _, port = self.address.partition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=_ANSWER_S)
        try:
            connection.request(method, path, json.dumps(body) if body is not None else None)
            response = connection.getresponse()
            document = json.loads(response.read() or b"{}")
        finally:
            connection.close()
        is_new = method == "POST" and response.status == http.client.OK
        return None if is_new or response.status == http.client.NOT_FOUND else document


def main() -> None:
    """Serve until standard input ends."""
    store = IndexedStore(int(sys.argv[1]))
    print(store.address, flush=True)
    sys.stdin.read()


if __name__ == "__main__":
    main()
