"""Test with a backend server whose responses do not end, against real daemons.

  endless_responses.py DAEMON [CASE...] [--memory-factor N]

Two daemons run; the server beside the second one answers some requests with bytes
without end. For each case, requests are sent to both daemons that run on this
server. While they run, ordinary requests go to the first daemon, for its own
server and for the faulty one. Checked for each case:

- Each request is answered long before its deadline, and not as served.
- The faulty server could send no more than limits and buffers allow.
- The ordinary requests are served.
- Both daemons live and stay within their memory and descriptors.
- Requests whose callers left no longer run: the server's connections are closed.

The load and the bounds are fixed. No time is checked but that an answer comes
before half of the deadline. Exit status: 0 the checks hold, 1 a check failed, 2 the
processes could not be set up.

N is the factor for the memory bounds with a daemon that is built with
AddressSanitizer.
"""

import argparse
import asyncio
import os
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..",
                                "testing"))
import mesh_processes as mesh  # noqa: E402

MEMORY_MB = 88  # The smallest host.
MAX_FDS = 1000
MAX_BODY_BYTES = MEMORY_MB * mesh.BYTES_PER_MB // 16  # The limit for one body.
DEADLINE_SECONDS = 60
# Requests of a case to each daemon. The server has slots for all of them and for
# ordinary requests.
CROWD = 10
SLOTS = 30
PIECE_BYTES = 16384
# Of a connection between daemon and server, both directions of both kernels.
BUFFER_BYTES = 1 << 20
# The smallest chunks take six bytes for each byte of the body.
CHUNK_OVERHEAD = 6
# What a server tries to send at most, so that a test ends in any case.
MOST_BYTES = 128 << 20
ENDLESS_PATH = "/far/endless"
HEALTH = "health"
# An ordinary request is repeated when it is refused; the mesh has this long.
ANSWER_SECONDS = 30


class Kind:
    """What the server sends first, and then again and again. {id} stands for the
    request's id."""

    def __init__(self, first, again, is_body=False):
        self.first, self.is_body = first, is_body
        self.piece = again * max(1, PIECE_BYTES // len(again))

    def most_bytes(self):
        body = CHUNK_OVERHEAD * MAX_BODY_BYTES if self.is_body else 0
        return body + BUFFER_BYTES


OK = b"HTTP/1.1 200 OK\r\n"
HEAD = OK + (b"Cyclamenwind-Attempt-Id: {id}\r\n"
             b"Cyclamenwind-Response-Signature: 3e1b.{id}\r\n")
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
OTHER = OK + b"Cyclamenwind-Attempt-Id: other\r\nContent-Length: 1\r\n\r\nx"

KINDS = {
    "no_http": Kind(b"", b"x"),
    "blank_lines": Kind(b"", b"\r\n"),
    "status_line": Kind(b"HTTP/1.1 200 ", b"x"),
    "header_line": Kind(HEAD + b"A: ", b"x"),
    "folded_line": Kind(HEAD + b"A: b\r\n", b" \r\n"),
    "many_headers": Kind(HEAD, b"a:\r\n"),
    "interim": Kind(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "other_answers": Kind(b"", OTHER),
    "body_by_length": Kind(HEAD + b"Content-Length: 99999999999\r\n\r\n", b"x"),
    "tiny_chunks": Kind(CHUNKED, b"1\r\nx\r\n", True),
    "large_chunks": Kind(CHUNKED, b"4000\r\n" + bytes(0x4000) + b"\r\n", True),
    "chunk_size": Kind(CHUNKED, b"0"),
    "chunk_extension": Kind(CHUNKED + b"1;", b"x"),
    "many_extensions": Kind(CHUNKED, b"1;" + b"e" * 500 + b"\r\nx\r\n"),
    "to_the_close": Kind(HEAD + b"\r\n", b"x", True),
    "trailers": Kind(CHUNKED + b"0\r\n", b"a: b\r\n"),
    "trailer_line": Kind(CHUNKED + b"0\r\na:", b" "),
    "behind_an_answer": Kind(HEAD + b"Content-Length: 1\r\n\r\nx", b"x"),
    HEALTH: Kind(HEAD + b"\r\n", b"x", True),
}
SERVED_KINDS = ("behind_an_answer",)


class EndlessServer(mesh.Server):
    """Answers requests for ENDLESS_PATH, and health checks if asked to, as kind
    says."""

    def __init__(self, machine, service):
        super().__init__(machine, service, capacity=SLOTS)
        self.kind = None
        self.endless_health = False
        self.begun = 0      # Endless responses that were begun.
        self.open = 0       # Those of them that are being sent.
        self.most_sent = 0  # The largest number of bytes of one of them.

    async def serve(self, reader, writer):
        # So that few bytes are on their way.
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, 65536)
        writer.transport.set_write_buffer_limits(high=PIECE_BYTES)
        await super().serve(reader, writer)

    async def respond(self, writer, request):
        if not self.is_endless(request):
            return await super().respond(writer, request)
        await self.send_endless(writer, request)
        return False

    def is_endless(self, request):
        target = request.first.split(" ")[1]
        return target == ENDLESS_PATH or (self.endless_health
                                          and target == "/health")

    async def send_endless(self, writer, request):
        attempt = request.header("Cyclamenwind-Attempt-Id") or ""
        sent = 0
        self.begun += 1
        self.open += 1
        try:
            writer.write(self.kind.first.replace(b"{id}", attempt.encode()))
            while sent < MOST_BYTES:
                writer.write(self.kind.piece)
                await writer.drain()
                sent += len(self.kind.piece)
                await asyncio.sleep(0)
        finally:
            self.open -= 1
            self.most_sent = max(self.most_sent, sent)


class World(mesh.Mesh):
    """Two daemons; the server beside the second one is faulty."""

    def __init__(self, daemon, environment):
        super().__init__(daemon, ("near", "far"), MEMORY_MB, MAX_FDS,
                         environment=environment)
        self.faulty = EndlessServer(self.machines[1], "far")
        self.servers[1] = self.faulty

    def config(self):
        config = super().config()
        for route in config["routes"]:
            route["timeoutMs"] = DEADLINE_SECONDS * 1000
            route["targetLatencyMs"] = DEADLINE_SECONDS * 500
        return config


async def call_endless(machine, reads=True, leaves_after=None):
    """Sends one request for an endless response. Returns the status, or 0 if
    there was no answer before half of the deadline."""
    writer = None
    try:
        async with asyncio.timeout(DEADLINE_SECONDS / 2):
            reader, writer = await asyncio.open_connection(
                machine.ip, mesh.SERVED_PORTS["outbound"])
            writer.write(mesh.request_head(
                "GET", ENDLESS_PATH, deadline_ms=DEADLINE_SECONDS * 1000) + b"\r\n")
            if leaves_after is not None:
                await asyncio.sleep(leaves_after)
                return 0
            if not reads:
                reader._transport.pause_reading()
                await asyncio.Event().wait()
            response = await mesh.read_message(reader)
            return response.status if response and response.whole else 0
    except (OSError, asyncio.TimeoutError):
        return 0
    finally:
        if writer:
            writer.close()


async def ordinary_request(machine, service):
    end = time.monotonic() + ANSWER_SECONDS
    while time.monotonic() < end:
        if await mesh.request(machine, "GET", f"/{service}/ordinary") == 200:
            return True
        await asyncio.sleep(0.2)
    return False


async def play_crowd(world, name):
    """Requests of callers that read their answers, that do not, and that leave;
    ordinary requests beside them. Returns what failed."""
    faulty, caller = world.faulty, world.machines[0]
    for machine in world.machines * 2:  # Leaves connections to the server.
        await asyncio.gather(*[ordinary_request(machine, "far")
                               for _ in range(3)])
    crowd = [asyncio.create_task(call_endless(machine))
             for machine in world.machines for _ in range(CROWD)]
    others = [asyncio.create_task(call_endless(machine, reads=False))
              for machine in world.machines]
    others += [asyncio.create_task(call_endless(machine, leaves_after=0.1))
               for machine in world.machines for _ in range(2)]
    found = []
    try:
        ordinary = 0
        while ordinary == 0 or not all(task.done() for task in crowd):
            for service in world.services:
                if not await ordinary_request(caller, service):
                    found.append(f"an ordinary request for {service} was not "
                                 "served")
            ordinary += 1
        statuses = [task.result() for task in crowd]
        print(f"{name}: {faulty.begun} begun, statuses "
              f"{ {each: statuses.count(each) for each in set(statuses)} }, "
              f"{ordinary} ordinary requests for each service, at most "
              f"{faulty.most_sent} bytes sent", flush=True)
        if 0 in statuses:
            found.append(f"{statuses.count(0)} requests had no answer before half "
                         "of their deadline")
        if (200 in statuses) != (name in SERVED_KINDS):
            found.append(f"{statuses.count(200)} requests were served")
    finally:
        for task in crowd + others:
            task.cancel()
        await asyncio.gather(*crowd, *others, return_exceptions=True)
    return found


async def play_health(world):
    """The daemon beside the faulty server is killed and starts again, which makes
    it check the server's health."""
    faulty, machine = world.faulty, world.machines[1]
    faulty.endless_health = True
    await machine.end()
    machine.bootstrap = False
    await machine.start()
    found = []
    if not await until(lambda: faulty.begun > 2, ANSWER_SECONDS):
        found.append("no health check was made")
    if not await ordinary_request(world.machines[0], "near"):
        found.append("an ordinary request for near was not served")
    faulty.endless_health = False
    if not await ordinary_request(world.machines[0], "far"):
        found.append("the server is not in use when it is healthy again")
    print(f"{HEALTH}: {faulty.begun} begun, at most {faulty.most_sent} bytes "
          "sent", flush=True)
    return found


async def until(condition, seconds):
    end = time.monotonic() + seconds
    while not condition() and time.monotonic() < end:
        await asyncio.sleep(0.05)
    return condition()


async def play(world, name, memory_factor):
    faulty, kind = world.faulty, KINDS[name]
    faulty.kind, faulty.begun, faulty.most_sent = kind, 0, 0
    found = await (play_health(world) if name == HEALTH
                   else play_crowd(world, name))
    if faulty.begun == 0:
        found.append("no endless response was begun")
    if not await until(lambda: faulty.open == 0, DEADLINE_SECONDS / 2):
        found.append(f"{faulty.open} connections of the server are still read")
    if faulty.most_sent > kind.most_bytes():
        found.append(f"the server sent {faulty.most_sent} bytes, at most "
                     f"{kind.most_bytes()} are of use")
    return found + mesh.resource_failures(world.machines, MEMORY_MB, MAX_FDS,
                                          memory_factor)


async def run(arguments):
    environment = {}
    if arguments.memory_factor > 1:
        # Freed memory that AddressSanitizer keeps is not the daemon's use.
        environment["ASAN_OPTIONS"] = "quarantine_size_mb=4"
    world = World(arguments.daemon, environment)
    failed = 0
    try:
        await world.start()
        for service in world.services:
            if not await ordinary_request(world.machines[0], service):
                raise mesh.HarnessError("no answer before the first case")
        for name in arguments.cases or KINDS:
            found = await play(world, name, arguments.memory_factor)
            for text in found:
                print(f"FAILED {name}: {text}", flush=True)
            failed += bool(found)
        for machine in world.machines:
            print(machine.describe())
        return 1 if failed else 0
    finally:
        await world.end()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("daemon")
    parser.add_argument("cases", nargs="*", metavar="CASE",
                        help=", ".join(KINDS))
    parser.add_argument("--memory-factor", type=int, default=1)
    arguments = parser.parse_args()
    unknown = set(arguments.cases) - set(KINDS)
    if unknown:
        parser.error(f"no such case: {', '.join(sorted(unknown))}")
    try:
        return asyncio.run(run(arguments))
    except mesh.HarnessError as error:
        print(f"not run: {error}")
        return 2


if __name__ == "__main__":
    sys.exit(main())
