"""A conversation goes on from half of a turn's output after its stream was resumed."""

import http.client
import signal
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "1"))

from standins import (
    CHUNK_TOKENS,
    HOST,
    TROUBLE,
    CannotRun,
    ModelServer,
    World,
    model_route,
    play,
    run_all,
)

GATEWAYS = 8
#: The node that is killed; all first turns come through it.
KILLED = "edge-0"
LINES = 8
EVENTS = 10
#: Events that each caller has when the node is killed.
EVENTS_BEFORE = 3
PAUSE_S = 0.08
TRIES = 3


def piece(session, number):
    """Return the data of one event; it is the same in each run of a stream."""
    return f"{session} piece {number}"


class ResumingServer(ModelServer):
    """A sound server that also goes on after ``Last-Event-Id``, and notes what it was sent."""

    #: Bodies of the requests that were run, by attempt id.
    bodies = {}

    def _handle(self, call):
        body = call.body()
        if call.path == "/healthz":
            call.answer(200, b"", {"X-Instance-Id": self.server_id})
            return
        attempt_id = call.headers["X-Attempt-Id"]
        if call.headers.get("X-Expect-Instance", self.server_id) != self.server_id:
            call.answer(421, b"", {"X-Attempt-Id": attempt_id, "X-Not-Executed": "1"})
            return
        self.bodies[attempt_id] = body
        after = int(call.headers.get("Last-Event-Id") or 0)
        self._record.write(f"run {attempt_id} at {self.server_id} after event {after}: {body!r}")
        call.send_response(200)
        call.send_header("X-Attempt-Id", attempt_id)
        call.send_header("X-Server-Seal", f"seal.{attempt_id}")
        call.send_header("Content-Type", "text/event-stream")
        call.send_header("Transfer-Encoding", "chunked")
        call.end_headers()
        session = call.headers["X-Session-Id"]
        for number in range(after + 1, EVENTS + 1):
            data = f"id: {number}\ndata: {piece(session, number)}\n\n".encode()
            call.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
            call.wfile.flush()
            time.sleep(PAUSE_S)
        call.wfile.write(b"0\r\n\r\n")


class ResumingWorld(World):
    """A small deployment whose servers resume streams."""

    def __init__(self):
        super().__init__(HERE, GATEWAYS)
        for server in self.servers:
            server.stop()
        self.servers = [ResumingServer(f"i-{number}", self.record) for number in range(3)]


class Line:
    """One line of two turns; the stream of the first one is resumed if it breaks off."""

    def __init__(self, world, number):
        self._world, self._number = world, number
        self.session = f"line{number}"
        self.has_begun = threading.Event()
        self._got = b""

    @property
    def events(self):
        return self._got.count(b"\n\n")

    def _headers(self, attempt_id):
        return {
            "X-Attempt-Id": attempt_id,
            "X-Program-Id": f"program-{self._number}",
            "X-Session-Id": self.session,
            "X-Finish-Ms": "60000",
            "X-Token-Budget": "100000",
            "X-Token-Count": f"100,{EVENTS * CHUNK_TOKENS}",
            "X-Model": "m",
            "X-Prompt-Prefix": f"aa:100,b{self._number:x}:50",
        }

    def first_turn(self):
        """Send the first turn, and take its stream up again if it breaks off; return its id."""
        attempt_id = f"{self.session}turn0try0"
        self._read_stream(attempt_id)
        for one_try in range(1, TRIES + 1):
            if self.events == EVENTS:
                return attempt_id
            # Later tries land on other nodes.
            gateway = f"edge-{1 + (self._number + one_try) % (GATEWAYS - 1)}"
            attempt_id = f"{self.session}turn0try{one_try}"
            headers = {**self._headers(attempt_id), "Last-Event-Id": str(self.events)}
            answer = self._world.ask(gateway, "/assist/turn", self.input(0), headers)
            self._got += answer.body if answer.status == 200 else b""
        raise CannotRun(f"the stream of {self.session} was not resumed")

    def _read_stream(self, attempt_id):
        """Read the stream of the first try as it comes, until its end or until it breaks off."""
        world = self._world
        port = world.machines.port(KILLED, "http")
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=4.0)
        headers = {"Host": HOST, "X-Deadline-Ms": "3000", **self._headers(attempt_id)}
        world.record.write(f"send {attempt_id} to {KILLED}: /assist/turn")
        try:
            connection.request("POST", "/assist/turn", self.input(0), headers)
            response = connection.getresponse()
            while data := response.read1(65536):
                self._got += data
                if self.events >= EVENTS_BEFORE:
                    self.has_begun.set()
        except (OSError, http.client.HTTPException) as error:
            world.record.write(f"the stream of {attempt_id} breaks off: {error!r}")
        finally:
            self.has_begun.set()
            connection.close()
        # Only whole events count.
        self._got = self._got[: self._got.rfind(b"\n\n") + 2]
        world.record.write(f"{attempt_id} has brought {self.events} events")

    def second_turn(self, previous):
        """Send the second turn; return whether its server got what the pages say."""
        attempt_id = f"{self.session}turn1try0"
        headers = {**self._headers(attempt_id), "X-Previous-Turn": previous}
        gateway = f"edge-{1 + self._number % (GATEWAYS - 1)}"
        answer = self._world.ask(gateway, "/assist/turn", self.input(1), headers)
        if not answer.is_served:
            raise CannotRun(f"the second turn of {self.session} was not served")
        pieces = [piece(self.session, number) + "\n" for number in range(1, EVENTS + 1)]
        wanted = self.input(0) + "".join(pieces).encode() + self.input(1)
        got = ResumingServer.bodies[attempt_id]
        if got != wanted:
            self._world.record.write(f"wrong body of {attempt_id}: {got!r} instead of {wanted!r}")
        return got == wanted

    def input(self, turn):
        return f"[{self.session} input {turn}]".encode()


def story(world):
    world.start([{**model_route("assist", stateful=True), "resumable": True}])
    lines = [Line(world, number) for number in range(LINES)]

    def kill():
        for line in lines:
            line.has_begun.wait()
        if TROUBLE:
            world.machines.signal(KILLED, signal.SIGKILL)
            time.sleep(1.0)
            world.machines.start(KILLED, is_gateway=True)

    killing = threading.Thread(target=kill)
    killing.start()
    ids = run_all([line.first_turn for line in lines], 0.01)
    killing.join()
    if None in ids:
        raise CannotRun("a first turn had no end")
    time.sleep(4.0)
    jobs = [lambda one=one, id=id: one.second_turn(id) for one, id in zip(lines, ids, strict=True)]
    results = run_all(jobs, 0.05)
    if None in results:
        raise CannotRun("a second turn had no end")
    wrong = results.count(False)
    print(f"{wrong} of {LINES} second turns ran with a wrong history")
    return wrong > 0


if __name__ == "__main__":
    sys.exit(play(ResumingWorld(), story))
