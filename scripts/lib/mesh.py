"""Starts and stops an example deployment on loopback."""
import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time
import tomllib
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
TOKEN = "example-token"


class MeshError(Exception):
    """A step of the run failed."""


class Mesh:
    """The processes of a deployment: the platform stand-in, and one daemon and
    one backend server on each host."""

    def __init__(self, name, build):
        self.name = name
        self.build = pathlib.Path(build)
        self.folder = ROOT / "examples" / name
        self.logs = pathlib.Path(tempfile.mkdtemp(prefix=f"{name}-"))
        self.processes = {}
        self.hosts = []
        for path in sorted((self.folder / "settings").glob("*.toml")):
            self.hosts.append((path, tomllib.loads(path.read_text())))
        self.platform_address = self.hosts[0][1]["addresses"]["platform"]

    def spawn(self, key, program, *arguments):
        log = open(self.logs / f"{key}.log", "ab")
        self.processes[key] = subprocess.Popen(
            [str(self.build / program), *arguments], stdout=log, stderr=log)
        log.close()

    def start_platform(self):
        self.spawn("platform", "platform_standin", self.platform_address)

    def start_daemon(self, path, settings):
        self.spawn(f"daemon-{settings['member']['id']}", "cyclamenwindd",
                   str(path))

    def start_server(self, settings, version="v1", port=8000, extra=()):
        member = settings["member"]
        service = member["id"].removeprefix(member["failure_domain"] + "-")
        ip = settings["addresses"]["peers"].split(":")[0]
        self.spawn(f"server-{member['id']}-{version}", "backend_standin",
                   "--listen", f"{ip}:{port}",
                   "--daemon", settings["addresses"]["operators"],
                   "--service", service, "--version", version,
                   "--trace", str(self.logs / "runs.trace"), *extra)

    def start(self):
        if get(self.platform_address, "/counts"):
            raise MeshError(f"{self.platform_address} is in use; another run "
                            f"of {self.name} may be active")
        self.start_platform()
        for path, settings in self.hosts:
            self.start_daemon(path, settings)
        for settings in self.settings():
            wait_for(lambda: get(settings["addresses"]["operators"],
                                 "/healthz"), 10, "a daemon to start")
        for settings in self.settings():
            self.start_server(settings)

    def settings(self):
        return [settings for _, settings in self.hosts]

    def operators(self, index=0):
        return self.hosts[index][1]["addresses"]["operators"]

    def callers(self):
        return [s["addresses"]["callers"] for s in self.settings()]

    def server_counts(self, version="v1", port=8000):
        counts = []
        for settings in self.settings():
            ip = settings["addresses"]["peers"].split(":")[0]
            counts.append(json.loads(get(f"{ip}:{port}", "/standin/counts")))
        return counts

    def control(self, *arguments, timeout=30):
        """Runs cyclamenctl; returns its standard output."""
        completed = subprocess.run(
            [str(self.build / "cyclamenctl"), *arguments],
            capture_output=True, text=True, timeout=timeout,
            env={**os.environ, "CYCLAMENWIND_TOKEN": TOKEN})
        if completed.returncode != 0:
            raise MeshError(f"cyclamenctl {arguments[0]} exited with status "
                            f"{completed.returncode}: "
                            f"{completed.stderr.strip()}")
        return completed.stdout.strip()

    def terminate(self, prefix, timeout=30):
        """Sends SIGTERM to the processes whose key starts with the prefix and
        waits until they exit with status 0."""
        matching = {k: p for k, p in self.processes.items()
                    if k.startswith(prefix)}
        for process in matching.values():
            process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + timeout
        for key, process in matching.items():
            try:
                status = process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired as error:
                raise MeshError(
                    f"{key} did not stop within {timeout} s") from error
            del self.processes[key]
            if status != 0:
                raise MeshError(f"{key} exited with status {status}, "
                                f"see {self.logs}/{key}.log")

    def signal(self, prefix, number):
        """Sends a signal to the processes whose key starts with the prefix;
        does not wait for them."""
        for key, process in self.processes.items():
            if key.startswith(prefix):
                process.send_signal(number)

    def kill(self, prefix):
        """Kills the processes whose key starts with the prefix (SIGKILL)."""
        for key in [k for k in self.processes if k.startswith(prefix)]:
            process = self.processes.pop(key)
            process.kill()
            process.wait()

    def run_counts(self):
        """Returns how often each request id ran, from the trace that the
        backend servers write."""
        counts = {}
        trace = self.logs / "runs.trace"
        for line in trace.read_text().splitlines() if trace.exists() else []:
            request = line.split(" ")[0]
            counts[request] = counts.get(request, 0) + 1
        return counts

    def kill_all(self):
        for process in self.processes.values():
            process.kill()
            process.wait()
        self.processes.clear()


def get(address, path, timeout=2):
    """Returns the body of the response to a GET, or "" if the GET fails."""
    try:
        with urllib.request.urlopen(f"http://{address}{path}",
                                    timeout=timeout) as response:
            return response.read().decode()
    except OSError:
        return ""


def wait_for(condition, seconds, what):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise MeshError(f"timed out after {seconds} s waiting for {what}")
