"""A small system whose machines have little memory and few descriptors, before a crowd."""

import contextlib
import os
import socketserver
import threading
import time
from typing import Any

from features.support.crowd_clients import ROUTE, SLOW_TARGET
from features.support.platform_world import PlatformWorld, Server, memory_peak_mb

#: Memory of each machine, which no process may exceed, in MB.
MEMORY_MB = 64
#: Descriptors of each machine, and those of them that the platform reserves for files.
MAX_FDS = 400
RESERVED_FDS = 200
#: Descriptors that each process may have open.
MAX_DESCRIPTORS = MAX_FDS - RESERVED_FDS
#: Seconds that the slow target of the route takes.
SLOW_S = 1.5


class CrowdServer:
    """A server that answers requests with any number of header lines."""

    def __init__(self, world: PlatformWorld) -> None:
        crowd_server = self

        class Handler(socketserver.StreamRequestHandler):
            """Answers the requests of one connection."""

            def handle(self) -> None:
                with contextlib.suppress(ConnectionError):
                    while crowd_server.answer(self.rfile, self.wfile):
                        pass

        class Listener(socketserver.ThreadingTCPServer):
            """Accepts as many connections at once as a crowd opens."""

            daemon_threads = True
            request_queue_size = 512

        self.listener = Listener(("127.0.0.1", 0), Handler)
        threading.Thread(target=self.listener.serve_forever, daemon=True).start()
        server = Server("crowd-server")
        server.listener = self.listener
        world.servers[server.server_id] = server
        world.list_again(server, ROUTE)

    def answer(self, source: Any, target: Any) -> bool:
        """Read a request and answer it; return False at the end of the connection."""
        lines: list[bytes] = []
        while (line := source.readline().rstrip(b"\r\n")) or not lines:
            if not line:
                return False
            lines.append(line)
        fields = dict(line.split(b":", 1) for line in lines[1:])
        source.read(int(fields.get(b"Content-Length", b"0")))
        if lines[0].split(b" ")[1].startswith(SLOW_TARGET.encode()):
            time.sleep(SLOW_S)
        attempt = fields[b"X-Attempt-Id"].strip()
        target.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nX-Server-Seal: seal\r\n"
            b"X-Attempt-Id: %b\r\n\r\nx" % attempt
        )
        return True


class CrowdWorld(PlatformWorld):
    """One gateway and three storage machines with little memory."""

    memory_mb = MEMORY_MB
    max_fds = MAX_FDS

    def __init__(self) -> None:
        super().__init__(gateways=1)

    def peak_memory_mb(self, name: str) -> float:
        """Return the most memory that a machine's process has had, in MB."""
        return memory_peak_mb(self.processes[name].pid)

    def open_descriptors(self, name: str) -> int:
        """Return the number of descriptors that a machine's process has open."""
        return len(os.listdir(f"/proc/{self.processes[name].pid}/fd"))
