"""Stand-ins for the outside of the mesh: the platform's store, backend servers,
clients and the supervisor of the daemons.

They speak what PROTOCOL.md of the users' pages says and behave soundly unless a
case asks for a disruption. Everything uses loopback addresses and the real
clock. All that is sent, answered and run goes to record.txt.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time
import traceback
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
DAEMON = os.path.join(ROOT, "target", "cyclamenwind-meshd")

SERVED_PORTS = {"inbound": 8300, "app": 8301, "ready": 8302, "outbound": 8304,
                "control": 8306}
STORE_PORT = 8309
PEER_PORTS = (7620, 7635)

BOUNDS = {"seedStalenessS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000,
          "catchupS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
          "configApplyMs": 2000, "rollbackSlackMs": 250, "stretchMaxMs": 5000,
          "budgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 56,
          "exposeShare": 0.1, "exposeSlack": 50, "rollbackMs": 5000,
          "recoverS": 15}


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


class Record:
    """Writes record.txt. Times are seconds from the start of the script."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, event, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():9.3f} {event} {text}\n")
        self.file.flush()


class HttpMessage:
    def __init__(self, first, headers, body, whole=True):
        self.first, self.headers, self.body, self.whole = first, headers, body, whole

    def header(self, name):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return None

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_message(reader):
    """Reads one message with a length or in chunks; None if the stream ended."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip(), value.strip()))
    message = HttpMessage(lines[0], headers, b"")
    try:
        if (message.header("Transfer-Encoding") or "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                message.body += await reader.readexactly(size)
                await reader.readline()
                if size == 0:
                    break
        else:
            length = int(message.header("Content-Length") or 0)
            message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        message.whole = False
    return message


def format_message(first, headers, body=b""):
    text = first + "\r\n"
    for name, value in headers:
        text += f"{name}: {value}\r\n"
    text += f"Content-Length: {len(body)}\r\n\r\n"
    return text.encode("latin-1") + body


REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone",
           421: "Misdirected Request", 503: "Service Unavailable"}


def format_answer(status, headers=(), body=b""):
    return format_message(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}",
                          list(headers), body)


class Store:
    """The platform's store: objects by kind and name, one revision counter,
    listings, watches, conditional writes."""

    def __init__(self, record, ip):
        self.record, self.ip = record, ip
        self.objects = {}
        self.history = []
        self.revision = 100
        self.changed = asyncio.Event()
        self.silent = False
        self.watchers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, STORE_PORT,
                                                 limit=1 << 24)

    def go_silent(self):
        """Down, in the silent way: calls, also those that wait, get no answer."""
        self.silent = True
        self.record.write("store_silent")

    def come_back(self):
        self.silent = False
        self.record.write("store_back")

    def put(self, kind, name, spec=None, status=None, finalizers=None):
        self.revision += 1
        existing = self.objects.get((kind, name))
        item = {"metadata": {"name": name, "revision": self.revision,
                             "createdRev": self.revision, "finalizers": [],
                             "deleting": False}, "spec": spec, "status": status}
        if existing:
            item["metadata"]["createdRev"] = existing["metadata"]["createdRev"]
        if finalizers is not None:
            item["metadata"]["finalizers"] = finalizers
        self.objects[(kind, name)] = item
        self.notify(kind, item, False)
        return item

    def notify(self, kind, item, deleted):
        self.history.append((self.revision, kind, json.loads(json.dumps(item)),
                             deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                call = await read_message(reader)
                if call is None or not call.whole:
                    break
                status, body = await self.answer(call)
                if self.silent or status == 0:
                    # A connection on which a response is lost returns nothing
                    # further.
                    await asyncio.sleep(60)
                    break
                writer.write(format_answer(
                    status, [("Content-Type", "application/json")],
                    json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, call):
        method, target, _ = call.first.split(" ")
        if self.silent:
            return 0, None
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(part) for part in url.path.split("/")[3:]]
        kind = parts[0]
        name = parts[1] if len(parts) > 1 else None
        if method != "GET":
            status, body = self.change(method, kind, name, parts, query, call.body)
            self.record.write("store_write", method=method, target=target,
                              status=status,
                              spec=json.dumps((body or {}).get("spec"))[:300])
            return status, body
        if name:
            item = self.objects.get((kind, name))
            return (200, item) if item else (404, {})
        if "watch" in query:
            return await self.watch(kind, int(query["watch"]),
                                    int(query.get("waitMs", 0)))
        items = [self.objects[key] for key in sorted(self.objects)
                 if key[0] == kind and key[1] > query.get("after", "")]
        return 200, {"items": items, "hasMore": False, "at": self.revision}

    async def watch(self, kind, revision, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            if self.silent:
                return 0, None
            events = [{"object": item, "deleted": deleted}
                      for at, of, item, deleted in self.history
                      if of == kind and at > revision]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.5))
            except asyncio.TimeoutError:
                pass

    def change(self, method, kind, name, parts, query, text):
        body = json.loads(text) if text else {}
        meta = body.get("metadata") or {}
        if method == "POST":
            name = meta["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[(kind, name)]
            return 200, self.put(kind, name, body.get("spec"))
        item = self.objects.get((kind, name))
        if item is None:
            return 404, {}
        wanted = meta.get("revision") or int(query.get("revision", 0))
        if wanted and wanted != item["metadata"]["revision"]:
            return 409, item
        if method == "DELETE":
            self.revision += 1
            del self.objects[(kind, name)]
            item["metadata"]["revision"] = self.revision
            self.notify(kind, item, True)
            return 200, item
        if len(parts) > 2:
            return 200, self.put(kind, name, item["spec"], body.get("status"))
        return 200, self.put(kind, name, body.get("spec"), item["status"])


class Server:
    """A backend server. It runs requests meant for it, knows its id, reports to
    the control address of its machine each heartbeat."""

    def __init__(self, record, machine, service, version="v1", capacity=9):
        self.record, self.machine, self.service = record, machine, service
        self.version, self.capacity = version, capacity
        self.id = f"i-{random.getrandbits(32):08x}"
        self.sequence = 0
        self.state = "ready"
        self.leaving = False
        self.silent_reports = False
        self.running = 0
        self.runs = []  # (time, attempt id, headers)
        self.born = int(time.time() * 1000)
        self.work_s = 0.05
        self.health_checks = 0

    async def start(self):
        self.listener = await asyncio.start_server(
            self.serve, self.machine.ip, SERVED_PORTS["app"], limit=1 << 24)
        self.beats = asyncio.create_task(self.report_always())

    async def stop(self):
        self.beats.cancel()
        self.listener.close()

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if request is None or not request.whole:
                    break
                writer.write(await self.answer(request))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, request):
        method, target, _ = request.first.split(" ")
        if target == "/health":
            self.health_checks += 1
            self.record.write("health_checked", server=self.id,
                              leaving=int(self.leaving))
            return format_answer(503 if self.leaving else 200,
                                 [("Cyclamenwind-Instance-Id", self.id)])
        attempt = request.header("Cyclamenwind-Attempt-Id") or ""
        echo = [("Cyclamenwind-Attempt-Id", attempt),
                ("Cyclamenwind-Instance-Id", self.id)]
        wanted = request.header("Cyclamenwind-Target-Instance")
        if wanted not in (None, self.id):
            return format_answer(421, echo)
        if self.running >= self.capacity:
            return format_answer(503, echo + [("Cyclamenwind-Not-Executed", "1")])
        self.running += 1
        self.runs.append((self.record.now(), attempt, request))
        self.record.write("run", server=self.id, service=self.service,
                          request=attempt, target=target,
                          caller=request.header("Cyclamenwind-Caller-Service"))
        await asyncio.sleep(self.work_s)
        self.running -= 1
        return format_answer(
            200, echo + [("Cyclamenwind-Response-Signature", "3e1b." + attempt)],
            f"answer to {attempt}".encode())

    def report(self):
        self.sequence += 1
        return {"service": self.service,
                "address": f"{self.machine.ip}:{SERVED_PORTS['app']}",
                "zone": self.machine.zone, "version": self.version,
                "capacity": self.capacity, "state": self.state,
                "warmupLeftMs": 0, "sequence": self.sequence, "born": self.born}

    async def send_report(self, body, method="PUT", timeout=1.0):
        """Returns the status, or 0 if no answer came within the timeout."""
        path = f"/-/instances/{self.id}"
        status = await call(self.machine.ip, SERVED_PORTS["control"], method, path,
                            json.dumps(body).encode(), timeout)
        self.record.write("report", server=self.id, method=method,
                          state=body.get("state"), sequence=body.get("sequence"),
                          status=status)
        return status

    async def report_always(self):
        while True:
            if not self.silent_reports:
                await self.send_report(self.report())
            await asyncio.sleep(1.5)


async def call(ip, port, method, path, body=b"", timeout=1.0):
    if isinstance(path, str):
        path = path.encode()
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(method.encode() + b" " + path + b" HTTP/1.1\r\nHost: " +
                         ip.encode() + b"\r\nContent-Type: application/json\r\n" +
                         f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
            answer = await read_message(reader)
            return answer.status if answer else 0
    except (OSError, asyncio.TimeoutError):
        return 0
    finally:
        if writer:
            writer.close()


class Machine:
    """A host: the daemon's process and its settings."""

    def __init__(self, world, index, zone, service):
        self.world, self.record = world, world.record
        self.index, self.zone, self.service = index, zone, service
        self.ip = f"{world.net}.{10 + index}"
        self.name = f"sidecar-{zone}-{index}"
        self.settings_file = os.path.join(world.folder, f"{self.name}.toml")
        self.log_path = os.path.join(world.folder, f"{self.name}.log")
        self.process = None
        self.memory_mb = 110
        self.ended_by_itself = 0
        self.peak_mb = 0.0
        self.stopping = False
        self.first = True

    def write_settings(self):
        ip = self.ip
        bounds = "\n".join(f"{name} = {value}" for name, value in BOUNDS.items())
        zones = "\n".join(f'{zone} = "nbo"' for zone in self.world.zones)
        text = f'''nodeName = "{self.name}"
role = "mesh"
machineClass = "sidecar"
serves = ["sidecar"]
ip = "{ip}"
zone = "{self.zone}"
region = "nbo"
portRange = [{PEER_PORTS[0]},{PEER_PORTS[1]}]
seeds = []
bootstrap = {"true" if self.first else "false"}
lossCounts = false
discovery = "local"
entry = "local"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","retry","recover","rollout","platform"]
appAddr = "{ip}:{SERVED_PORTS['app']}"
service = "{self.service}"

[zones]
{zones}

[listenAddrs]
inbound = "{ip}:{SERVED_PORTS['inbound']}"
outbound = "{ip}:{SERVED_PORTS['outbound']}"
ready = "{ip}:{SERVED_PORTS['ready']}"
control = "{ip}:{SERVED_PORTS['control']}"

[limits]
cpuShare = 0.2
cpuCores = 1
memoryMb = {self.memory_mb}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0

[faultTolerance]
machines = 1
zones = 0
regions = 0

[bounds]
{bounds}

[platform]
address = "{self.world.store.ip}:{STORE_PORT}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
'''
        with open(self.settings_file + ".new", "w", encoding="utf-8") as out:
            out.write(text)
        os.replace(self.settings_file + ".new", self.settings_file)

    async def start(self):
        self.write_settings()
        self.first = False
        self.stopping = False
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                DAEMON, cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": "/usr/bin:/bin", "HOME": self.world.folder,
                     "CYCLAMENWIND_CONFIG": self.settings_file})
        self.record.write("daemon_started", name=self.name, pid=self.process.pid)
        asyncio.create_task(self.watch_end(self.process))

    async def watch_end(self, process):
        status = await process.wait()
        if process is self.process and not self.stopping:
            self.ended_by_itself += 1
            self.record.write("daemon_ended_by_itself", name=self.name,
                              status=status)
        else:
            self.record.write("daemon_ended", name=self.name, status=status)

    def signal(self, number):
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.stopping = True
        self.record.write("signal", name=self.name, number=int(number))
        self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.stopping = True
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()

    def private_mb(self):
        """Private memory of the process, without its program file."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                for line in file:
                    if line.startswith("RssAnon:"):
                        return int(line.split()[1]) / 1024
        except (OSError, AttributeError):
            pass
        return 0.0


class World:
    def __init__(self, record_path, services, per_service=1, zones=("nbo-a", "nbo-b")):
        if not os.access(DAEMON, os.X_OK):
            raise CannotRun("target/cyclamenwind-meshd is missing")
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = f"127.{random.randint(2, 250)}.{random.randint(2, 250)}"
        self.zones = zones
        self.store = Store(self.record, f"{self.net}.5")
        self.machines = []
        index = 0
        for copy in range(per_service):
            for service in services:
                self.machines.append(Machine(self, index, zones[index % len(zones)],
                                             service))
                index += 1
        self.servers = [Server(self.record, machine, machine.service)
                        for machine in self.machines]
        self.services = list(services)
        self.version = 7

    def config(self, routes, limits=None):
        return {"version": self.version, "routes": routes,
                "services": [{"name": name, "healthPath": "/health",
                              "maxConnections": 110, "protocol": "h1",
                              "tls": False} for name in self.services],
                "limits": limits or {"maxHeaderBytes": 16384,
                                     "maxBodyBytes": 67108864,
                                     "headerTimeoutMs": 3000,
                                     "idleTimeoutMs": 15000}}

    async def start(self, routes, limits=None):
        await self.store.start()
        self.store.put("config", "main", self.config(routes, limits))
        for machine in self.machines:
            await machine.start()
        for server in self.servers:
            await server.start()
        end = time.monotonic() + 15
        for machine in self.machines:
            while await call(machine.ip, SERVED_PORTS["ready"], "GET",
                             "/-/ready") != 200:
                if time.monotonic() > end:
                    raise CannotRun(f"{machine.name} is not ready")
                await asyncio.sleep(0.1)
        while len([1 for kind, _ in self.store.objects
                   if kind == "endpoints"]) < len(self.servers):
            if time.monotonic() > end:
                raise CannotRun("the servers are not registered")
            await asyncio.sleep(0.1)
        await asyncio.sleep(3)

    async def end(self):
        for machine in self.machines:
            await machine.end()
        for server in self.servers:
            await server.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, service, kind, timeout_ms=3000, aim_ms=800):
    return {"name": name, "host": "hulo84.example", "pathPrefix": prefix,
            "kind": kind, "timeoutMs": timeout_ms, "targetLatencyMs": aim_ms,
            "priority": 1, "service": service, "maxAttempts": 2}


class Answer:
    def __init__(self, attempt, status, message, sent, ended):
        self.attempt, self.status, self.message = attempt, status, message
        self.sent, self.ended = sent, ended


class Connection:
    """A client's connection to the outbound address of its machine."""

    def __init__(self, record, machine):
        self.record, self.machine = record, machine
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.machine.ip, SERVED_PORTS["outbound"], limit=1 << 24)

    async def request(self, method, path, body=b"", deadline_ms=3000):
        """Sends one request. Status 0: the connection ended without an answer;
        -1: the deadline passed; -2: no connection."""
        attempt = f"{random.getrandbits(64):016x}"
        sent = self.record.now()
        status, message = -2, None
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                if self.writer is None:
                    await self.open()
                self.record.write("sent", request=attempt, to=self.machine.name,
                                  method=method, path=path, bytes=len(body))
                status = 0
                self.writer.write(format_message(
                    f"{method} {path} HTTP/1.1",
                    [("Host", "hulo84.example"),
                     ("Cyclamenwind-Attempt-Id", attempt),
                     ("Cyclamenwind-Deadline-Ms", deadline_ms)], body))
                await self.writer.drain()
                message = await read_message(self.reader)
                if message is not None and message.whole:
                    status = message.status
        except asyncio.TimeoutError:
            status = -1
        except OSError:
            pass
        self.record.write("answered", request=attempt, status=status)
        closes = message is not None and \
            (message.header("Connection") or "").lower() == "close"
        if status <= 0 or closes:
            self.close()
        return Answer(attempt, status, message, sent, self.record.now())

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None


def run_case(main, folder):
    """Runs main(record_path, trouble) and exits with the verdict: 1 broken, 0
    held, 2 could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def limited():
        async with asyncio.timeout(110):
            return await main(os.path.join(folder, "record.txt"), trouble)

    try:
        broken = asyncio.run(limited())
    except CannotRun as problem:
        print(f"could not run: {problem}")
        sys.exit(2)
    except Exception:  # Says nothing about the rule either.
        traceback.print_exc()
        sys.exit(2)
    print("rule broken" if broken else "rule held")
    sys.exit(1 if broken else 0)
