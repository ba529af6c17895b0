"""Measures the latency that the two daemons add to a call.

Each round of a run measures calls that the caller sends directly to the backend
server and calls through the daemons. Also measures the calls per processor
second of each daemon.
"""
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import urllib.request

from mesh import ROOT, TOKEN, MeshError, get, wait_for

BUILD = ROOT / "build"
PLATFORM = "127.40.0.1:7900"
SERVER = "127.40.2.1:8000"
ROUNDS = 5
ROUND_SECONDS = 2
LATENCY_RATE = 1000
LOAD_RATE = 8000
BODY_BYTES = 256
ADDED_P99_BOUND_US = 300

SETTINGS = """\
[member]
id = "host-{n}"
failure_domain = "domain-{n}"
region = "bench"
[addresses]
callers = "127.40.{n}.1:7000"
peers = "127.40.{n}.1:7100"
operators = "127.40.{n}.1:7200"
platform = "{platform}"
[operators]
token = "{token}"
[log]
level = "warning"
"""

DOCUMENT = {
    "services": [{"name": "echo", "version": "v1"}],
    "routes": [{"name": "echo", "service": "echo",
                "match": {"path_prefix": "/"}, "repeatable": True}],
}


def processor_seconds(process):
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text()
    user, system = fields.rsplit(")", 1)[1].split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


def frame_bytes(operators):
    """Returns the bytes of call frames that a daemon has sent; 0 if it does
    not export the metric."""
    total = 0.0
    for line in get(operators, "/metrics").splitlines():
        if line.startswith("cyclamenwind_peer_bytes_total{") and "call" in line:
            total += float(line.rsplit(" ", 1)[1])
    return total


class CallPath:
    """The platform stand-in, two daemons, and a backend server on the host of
    the second daemon."""

    def __init__(self, folder):
        self.processes = []
        self.spawn("platform_standin", PLATFORM)
        self.daemons = []
        for n in (1, 2):
            path = folder / f"host-{n}.toml"
            path.write_text(SETTINGS.format(n=n, platform=PLATFORM,
                                            token=TOKEN))
            self.daemons.append(self.spawn("cyclamenwindd", str(path)))
        for n in (1, 2):
            wait_for(lambda: get(f"127.40.{n}.1:7200", "/healthz"), 10,
                     "a daemon to start")
        self.spawn("backend_standin", "--listen", SERVER, "--daemon",
                   "127.40.2.1:7200", "--service", "echo", "--version", "v1",
                   "--slots", "500", "--work-ms", "0")
        self.accept_document()
        wait_for(self.is_answering, 10, "a call to be answered")

    def spawn(self, program, *arguments):
        process = subprocess.Popen([str(BUILD / program), *arguments])
        self.processes.append(process)
        return process

    def accept_document(self):
        request = urllib.request.Request(
            "http://127.40.1.1:7200/api/document?author=bench",
            json.dumps(DOCUMENT).encode(),
            {"Authorization": f"Bearer {TOKEN}",
             "Content-Type": "application/json"})
        urllib.request.urlopen(request, timeout=10).read()

    def is_answering(self):
        return "id=" in get("127.40.1.1:7000", "/")

    def run_load(self, address, rate):
        completed = subprocess.run(
            [str(BUILD / "caller_standin"), "--to", address,
             "--request", "POST /", "--rate", str(rate),
             "--seconds", str(ROUND_SECONDS), "--body-bytes",
             str(BODY_BYTES)],
            capture_output=True, text=True, check=True)
        result = json.loads(completed.stdout)
        if result["answered"] != result["sent"] or result["mismatched"]:
            raise MeshError(f"not every call was answered: {result}")
        return result

    def stop(self):
        for process in self.processes:
            process.kill()
            process.wait()


def median(values):
    return sorted(values)[len(values) // 2]


def print_figure(name, value, unit, bound=None):
    ok = bound is None or value <= bound
    bound_fields = ("" if bound is None
                    else f" bound={bound} ok={str(ok).lower()}")
    print(f"bench=path figure={name} value={value:.6g} unit={unit}"
          f"{bound_fields}", flush=True)
    return ok


def measure_latency(path):
    direct = {"p50_us": [], "p99_us": []}
    meshed = {"p50_us": [], "p99_us": []}
    for _ in range(ROUNDS):
        for results, address in ((direct, SERVER),
                                 (meshed, "127.40.1.1:7000")):
            result = path.run_load(address, LATENCY_RATE)
            for key in results:
                results[key].append(result[key])
    for key, name in (("p50_us", "p50"), ("p99_us", "p99")):
        print_figure(f"direct_{name}", median(direct[key]), "us")
        print_figure(f"meshed_{name}", median(meshed[key]), "us")
    print_figure("added_p50",
                 median(meshed["p50_us"]) - median(direct["p50_us"]), "us")
    return print_figure("added_p99",
                        median(meshed["p99_us"]) - median(direct["p99_us"]),
                        "us", ADDED_P99_BOUND_US)


def measure_cost(path):
    cpu_before = [processor_seconds(d) for d in path.daemons]
    bytes_before = frame_bytes("127.40.1.1:7200")
    result = path.run_load("127.40.1.1:7000", LOAD_RATE)
    bytes_after = frame_bytes("127.40.1.1:7200")
    cpu_seconds = [processor_seconds(d) - b
                   for d, b in zip(path.daemons, cpu_before)]
    names = ("caller_side", "server_side")
    for name, seconds in zip(names, cpu_seconds):
        print_figure(f"{name}_calls_per_core", result["answered"] / seconds,
                     "calls/s")
    print_figure("calls_per_core_both",
                 result["answered"] / sum(cpu_seconds), "calls/s")
    if bytes_after > bytes_before:
        print_figure("request_frame_bytes",
                     (bytes_after - bytes_before) / result["answered"], "B")


def main():
    with tempfile.TemporaryDirectory() as folder:
        path = None
        try:
            path = CallPath(pathlib.Path(folder))
            ok = measure_latency(path)
            measure_cost(path)
        except (MeshError, subprocess.CalledProcessError) as error:
            print(f"bench: path failed: {error}", file=sys.stderr)
            return 2
        finally:
            if path:
                path.stop()
    return 0 if ok else 1


if __name__ == "__main__":
    sys.exit(main())
