"""Real daemons on loopback addresses, for tests and fault soaks.

Starts cyclamenwind-meshd with a settings file for each host, beside stand-ins of
the platform's store and of the backend servers, and measures the processes: peak
resident memory, received bytes that wait in the kernel, open descriptors.

The stand-ins are those of review/standin/mesh.py without its record; the review
stays as it was given.
"""

import asyncio
import json
import os
import random
import resource
import shutil
import tempfile
import time
import urllib.parse

SERVED_PORTS = {"inbound": 8300, "app": 8301, "ready": 8302, "outbound": 8304,
                "control": 8306}
STORE_PORT = 8309
PEER_PORTS = (7620, 7635)
HOST_NAME = "mesh.example"
BYTES_PER_MB = 1 << 20
# Period between two readings of a process's memory and descriptors.
SAMPLE_SECONDS = 0.05
# Descriptors that the platform reserves for files (docs/MILESTONE.md, part 6).
RESERVED_DESCRIPTORS = 200

BOUNDS = {"seedStalenessS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000,
          "catchupS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
          "configApplyMs": 2000, "rollbackSlackMs": 250, "stretchMaxMs": 5000,
          "budgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 56,
          "exposeShare": 0.1, "exposeSlack": 50, "rollbackMs": 5000,
          "recoverS": 15}


class HarnessError(Exception):
    """The processes could not be set up; says nothing about the daemon."""


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

    def __init__(self, ip):
        self.ip = ip
        self.objects = {}
        self.history = []
        self.revision = 100
        self.changed = asyncio.Event()
        self.silent = False
        self.watchers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, STORE_PORT,
                                                 limit=1 << 24)

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

    def __init__(self, machine, service, version="v1", capacity=9):
        self.machine, self.service = machine, service
        self.version, self.capacity = version, capacity
        self.id = f"i-{random.getrandbits(32):08x}"
        self.sequence = 0
        self.state = "ready"
        self.leaving = False
        self.silent_reports = False
        self.running = 0
        self.born = int(time.time() * 1000)
        self.work_s = 0.05
        # Path whose responses have large_bytes; others are a short text.
        self.large_path, self.large_bytes = "", 0

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
                if not await self.respond(writer, request):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def respond(self, writer, request):
        """Returns whether the connection stays open."""
        writer.write(await self.answer(request))
        await writer.drain()
        return True

    async def answer(self, request):
        method, target, _ = request.first.split(" ")
        if target == "/health":
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
        await asyncio.sleep(self.work_s)
        self.running -= 1
        return format_answer(
            200, echo + [("Cyclamenwind-Response-Signature", "3e1b." + attempt)],
            bytes(self.large_bytes) if target == self.large_path
            else f"answer to {attempt}".encode())

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

    def __init__(self, mesh, index, zone, service):
        self.mesh, self.zone, self.service = mesh, zone, service
        self.ip = f"{mesh.net}.{10 + index}"
        self.name = f"sidecar-{zone}-{index}"
        self.settings_file = os.path.join(mesh.folder, f"{self.name}.toml")
        self.log_path = os.path.join(mesh.folder, f"{self.name}.log")
        self.bootstrap = True  # The system starts for the first time.
        self.process = None
        self.peak_descriptors = 0
        self.peak_bytes = 0  # Resident and received but not read, at one time.
        self.peak_resident = 0  # VmHWM when it was last readable.
        self.peak_unread = 0

    def write_settings(self):
        ip, mesh = self.ip, self.mesh
        bounds = "\n".join(f"{name} = {value}" for name, value in BOUNDS.items())
        zones = "\n".join(f'{zone} = "nbo"' for zone in mesh.zones)
        text = f'''nodeName = "{self.name}"
role = "mesh"
machineClass = "sidecar"
serves = ["sidecar"]
ip = "{ip}"
zone = "{self.zone}"
region = "nbo"
portRange = [{PEER_PORTS[0]},{PEER_PORTS[1]}]
seeds = []
bootstrap = {str(self.bootstrap).lower()}
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
memoryMb = {mesh.memory_mb}
maxFds = {mesh.max_fds}
linkMbps = 1000.0
diskMb = 0

[faultTolerance]
machines = 1
zones = 0
regions = 0

[bounds]
{bounds}

[platform]
address = "{mesh.store.ip}:{STORE_PORT}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
'''
        with open(self.settings_file, "w", encoding="utf-8") as out:
            out.write(text)

    async def start(self):
        self.write_settings()
        limit = (self.mesh.max_fds, self.mesh.max_fds)
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                self.mesh.daemon, stdout=log, stderr=log,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE,
                                                      limit),
                env={"PATH": "/usr/bin:/bin", "HOME": self.mesh.folder,
                     "CYCLAMENWIND_CONFIG": self.settings_file,
                     **self.mesh.environment})
        self.sampler = asyncio.create_task(self.sample_always())

    async def end(self):
        self.sampler.cancel()
        if self.alive():
            self.process.kill()
        await self.process.wait()

    def alive(self):
        return self.process is not None and self.process.returncode is None

    async def sample_always(self):
        while self.alive():
            self.sample()
            await asyncio.sleep(SAMPLE_SECONDS)

    def sample(self):
        """Updates the peaks. What the process holds counts with what it has
        received and not read."""
        folder = f"/proc/{self.process.pid}"
        try:
            with open(f"{folder}/status", encoding="ascii") as file:
                sizes = {line.split(":")[0]: line.split()[1] for line in file
                         if line.startswith(("VmHWM", "VmRSS"))}
            sockets, count = set(), 0
            for name in os.listdir(f"{folder}/fd"):
                count += 1
                try:
                    target = os.readlink(f"{folder}/fd/{name}")
                except OSError:
                    continue  # Closed meanwhile.
                if target.startswith("socket:["):
                    sockets.add(target[len("socket:["):-1])
        except OSError:
            return
        if "VmHWM" not in sizes:
            return
        unread = unread_bytes(sockets)
        self.peak_descriptors = max(self.peak_descriptors, count)
        self.peak_resident = max(self.peak_resident, int(sizes["VmHWM"]) * 1024)
        self.peak_unread = max(self.peak_unread, unread)
        self.peak_bytes = max(self.peak_bytes,
                              int(sizes["VmRSS"]) * 1024 + unread)

    def describe(self):
        state = "alive" if self.alive() else f"ended ({self.process.returncode})"
        return (f"{self.name}: {state}, VmHWM {self.peak_resident / BYTES_PER_MB:.0f}"
                f" MB, resident and unread {self.peak_bytes / BYTES_PER_MB:.0f} MB"
                f" (unread at most {self.peak_unread / BYTES_PER_MB:.0f} MB),"
                f" descriptors {self.peak_descriptors}")


def resource_failures(machines, memory_mb, max_fds, memory_factor):
    """Returns a text for each bound that a daemon has broken."""
    found = []
    limit = memory_mb * memory_factor * BYTES_PER_MB
    for machine in machines:
        machine.sample()
        if not machine.alive():
            found.append(f"{machine.name} has ended")
        if max(machine.peak_resident, machine.peak_bytes) > limit:
            found.append(f"{machine.name} took more than {memory_mb} MB x "
                         f"{memory_factor}")
        if machine.peak_descriptors > max_fds - RESERVED_DESCRIPTORS:
            found.append(f"{machine.name} opened too many descriptors")
    return found


def unread_bytes(sockets):
    """Sum of the receive queues of the sockets with these inodes."""
    total = 0
    with open("/proc/net/tcp", encoding="ascii") as file:
        next(file)
        for line in file:
            fields = line.split()
            if fields[9] in sockets and fields[3] != "0A":  # 0A: listening.
                total += int(fields[4].split(":")[1], 16)
    return total


class Mesh:
    """The store, and one daemon with one backend server for each service."""

    def __init__(self, daemon, services, memory_mb=88, max_fds=4100,
                 limits=None, environment=None, zones=("nbo-a", "nbo-b")):
        if not os.access(daemon, os.X_OK):
            raise HarnessError(f"{daemon} is missing")
        self.daemon = os.path.abspath(daemon)
        self.memory_mb, self.max_fds, self.zones = memory_mb, max_fds, zones
        self.environment = environment or {}
        self.limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
                       **(limits or {})}
        self.folder = tempfile.mkdtemp(prefix="mesh-")
        self.net = f"127.{random.randint(2, 250)}.{random.randint(2, 250)}"
        self.store = Store(f"{self.net}.5")
        self.services = list(services)
        self.machines = [Machine(self, index, zones[index % len(zones)], service)
                         for index, service in enumerate(services)]
        self.servers = [Server(machine, machine.service)
                        for machine in self.machines]

    def config(self):
        routes = [{"name": f"r-{name}", "host": HOST_NAME,
                   "pathPrefix": f"/{name}/", "kind": "unsafe",
                   "timeoutMs": 10000, "targetLatencyMs": 5000, "priority": 1,
                   "service": name, "maxAttempts": 2} for name in self.services]
        return {"version": 7, "routes": routes,
                "services": [{"name": name, "healthPath": "/health",
                              "maxConnections": 110, "protocol": "h1",
                              "tls": False} for name in self.services],
                "limits": self.limits}

    async def start(self, seconds=30):
        await self.store.start()
        self.store.put("config", "main", self.config())
        for machine in self.machines:
            await machine.start()
        for server in self.servers:
            await server.start()
        end = time.monotonic() + seconds
        for machine in self.machines:
            while await call(machine.ip, SERVED_PORTS["ready"], "GET",
                             "/-/ready") != 200:
                if time.monotonic() > end or not machine.alive():
                    raise HarnessError(f"{machine.name} is not ready")
                await asyncio.sleep(0.1)
        while len([1 for kind, _ in self.store.objects
                   if kind == "endpoints"]) < len(self.servers):
            if time.monotonic() > end:
                raise HarnessError("the servers are not registered")
            await asyncio.sleep(0.1)

    async def end(self):
        for machine in self.machines:
            if machine.process is not None:
                await machine.end()
        for server in self.servers:
            await server.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def request_head(method, path, headers=(), deadline_ms=9000):
    """Start of a request, without the empty line that ends its head."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST_NAME}",
             f"Cyclamenwind-Attempt-Id: {random.getrandbits(64):016x}",
             f"Cyclamenwind-Deadline-Ms: {deadline_ms}",
             *[f"{name}: {value}" for name, value in headers]]
    return ("\r\n".join(lines) + "\r\n").encode()


async def request(machine, method, path, body=b"", timeout=10.0):
    """Sends one request to the callers' address of machine. Returns the status,
    or 0 if there was no complete response."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(
                machine.ip, SERVED_PORTS["outbound"], limit=1 << 24)
            writer.write(request_head(
                method, path, [("Content-Length", len(body))]) + b"\r\n" + body)
            response = await read_message(reader)
            return response.status if response and response.whole else 0
    except (OSError, asyncio.TimeoutError):
        return 0
    finally:
        if writer:
            writer.close()
