"""What the scripts of the third review have in common.

Real daemons, started with the command of the deploy file, beside the stand-ins of
testing/mesh_processes.py. Backend servers and clients of a case write all that
they send, run and answer to record.txt in the folder of the case.
"""

import asyncio
import os
import random
import shlex
import socket
import sys
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
sys.path.insert(0, os.path.join(ROOT, "testing"))
import mesh_processes as mesh  # noqa: E402

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DAEMON_PORTS = [*mesh.SERVED_PORTS.values(), mesh.PEER_PORTS[0], 9464]


class Record:
    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def write(self, who, event, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{time.monotonic() - self.start:9.4f} {who} {event} {text}\n")

    def say(self, text):
        self.file.write(text + "\n")
        print(text)


class Store(mesh.Store):
    """A write that changes nothing is no event, as the users' pages say."""

    def change(self, method, kind, name, parts, query, text):
        item = self.objects.get((kind, name))
        if method == "PUT" and item is not None:
            body = mesh.json.loads(text)
            wanted = (body.get("metadata") or {}).get("revision")
            field = "status" if len(parts) > 2 else "spec"
            if (not wanted or wanted == item["metadata"]["revision"]) and \
                    body.get(field) == item[field]:
                return 200, item
        return super().change(method, kind, name, parts, query, text)


class Server(mesh.Server):
    """A backend server that records what reaches it and what it runs."""

    def __init__(self, machine, service, record, capacity=9):
        super().__init__(machine, service, capacity=capacity)
        self.record, self.name = record, f"server-{machine.ip}"
        self.runs = {}  # Attempt id: how often it ran here.
        self.writers = set()

    async def crash(self):
        """Ends as a killed process does: all its connections are closed."""
        await self.stop()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        link = {}
        self.writers.add(writer)
        try:
            while True:
                request = await mesh.read_message(reader)
                if request is None or not request.whole:
                    break
                answer = await self.answer_on(link, request)
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer_on(self, link, request):
        """The bytes that this server sends for a request on a connection; link
        holds what it keeps of the connection."""
        return await self.answer(request)

    async def answer(self, request):
        attempt = request.header("Cyclamenwind-Attempt-Id")
        if attempt is None:
            return await super().answer(request)
        wanted = request.header("Cyclamenwind-Target-Instance")
        if wanted not in (None, self.id):
            self.record.write(self.name, "misdirected", id=attempt)
            return mesh.format_answer(421, [("Cyclamenwind-Instance-Id", self.id),
                                            ("Cyclamenwind-Attempt-Id", attempt)])
        if self.running >= self.capacity:
            self.record.write(self.name, "full", id=attempt)
            return self.shed(attempt)
        self.running += 1
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        self.record.write(self.name, "runs", id=attempt)
        await asyncio.sleep(self.work_s)
        self.running -= 1
        return self.outcome(attempt)

    def outcome(self, attempt, status=200):
        self.record.write(self.name, "answers", id=attempt, status=status)
        # A server that leaves says so in all its answers (news pages).
        leaving = [("Server-Leaving", "1")] if self.leaving else []
        return mesh.format_answer(
            status, [("Date", "Mon, 07 Dec 2026 12:00:00 GMT"),
                     ("Cyclamenwind-Attempt-Id", attempt),
                     ("Cyclamenwind-Response-Signature", f"3e1b.{self.id}.{status}"),
                     *leaving],
            f"{status} from {self.id} to {attempt}".encode())

    @staticmethod
    def shed(attempt):
        return mesh.format_answer(503, [("Cyclamenwind-Not-Executed", "1"),
                                        ("Cyclamenwind-Attempt-Id", attempt)])


def make_mesh(services, record, server_type=Server, memory_mb=110):
    """A mesh with one machine and one server for each element of services. Uses
    addresses on which all ports are free."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        command = shlex.split(tomllib.load(file)["roles"]["mesh"]["run"])
    os.chdir(ROOT)
    for _ in range(20):
        made = mesh.Mesh(command[0], services, memory_mb=memory_mb)
        if all(is_free(machine.ip, port) for machine in made.machines
               for port in DAEMON_PORTS) and is_free(made.store.ip, mesh.STORE_PORT):
            break
        mesh.shutil.rmtree(made.folder, ignore_errors=True)
    else:
        raise mesh.HarnessError("no free ports")
    made.store = Store(made.store.ip)
    made.servers = [server_type(machine, machine.service, record)
                    for machine in made.machines]
    return made


def is_free(ip, port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


class Client:
    """Sends requests to the daemon of its machine, over kept connections."""

    def __init__(self, machine, record, name):
        self.machine, self.record, self.name = machine, record, name
        self.stream = None

    async def send(self, method, path, deadline_ms, body=b"a price"):
        """Returns the attempt id, and the response or None."""
        attempt = f"{random.getrandbits(64):016x}"
        self.record.write(self.name, "sends", id=attempt, request=f"{method} {path}",
                          to=self.machine.ip)
        response = None
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                if self.stream is None:
                    self.stream = await asyncio.open_connection(
                        self.machine.ip, mesh.SERVED_PORTS["outbound"], limit=1 << 24)
                reader, writer = self.stream
                writer.write(mesh.format_message(
                    f"{method} {path} HTTP/1.1",
                    [("Host", mesh.HOST_NAME), ("Cyclamenwind-Attempt-Id", attempt),
                     ("Cyclamenwind-Deadline-Ms", deadline_ms)], body))
                response = await mesh.read_message(reader)
        except (OSError, asyncio.TimeoutError):
            pass
        if response is not None and not response.whole:
            response = None
        if response is None or (response.header("Connection") or "") == "close":
            self.close()
        self.record.write(
            self.name, "receives", id=attempt,
            status="nothing" if response is None else response.status,
            signature=response and response.header("Cyclamenwind-Response-Signature"))
        return attempt, response

    def close(self):
        if self.stream is not None:
            self.stream[1].close()
        self.stream = None


def run(case, file):
    """Runs case(record), which returns HELD or BROKEN, and exits."""
    folder = os.path.dirname(os.path.abspath(file))
    record = Record(folder)
    try:
        status = asyncio.run(asyncio.wait_for(case(record), 110))
    except (mesh.HarnessError, OSError, asyncio.TimeoutError) as problem:
        record.say(f"could not run: {problem!r}")
        status = CANNOT_RUN
    record.file.close()
    sys.exit(status)
