"""Injects faults into real processes.

Starts a new mesh for each fault, sends calls throughout, and checks the
invariants on the traces of callers and backend servers.

usage: real_faults.py [FAULT ...]
"""
import collections
import json
import signal
import subprocess
import sys
import threading
import time
import urllib.request

from mesh import ROOT, Mesh, MeshError, get, wait_for
from quickstart import ROUTES, accept_document, registered_servers

CALLER_SECONDS = 6
CALLER_RATE = 200
FAULT_START_SECONDS = 1.5
FAULT_SECONDS = 2.5
APPLY_LIMIT_SECONDS = 3
# Faults during which a second document version is accepted.
ACCEPT_FAULTS = {"platform_slow_accept", "platform_answer_lost"}
TARGET_DOMAIN = "pretoria-a"
# Callers use the daemons of these members. Calls prefer servers of the same
# failure domain, so the faults on TARGET_DOMAIN and TARGET_MEMBER affect them.
CALLER_MEMBERS = ("pretoria-a-index", "pretoria-b-index")
TARGET_MEMBER = "pretoria-a-quote"
# Faults that are planned stops: every request must be answered.
PLANNED_STOPS = {"daemon_term", "server_drain"}


def platform_control(mesh, **switches):
    request = urllib.request.Request(
        f"http://{mesh.platform_address}/control",
        json.dumps(switches).encode())
    urllib.request.urlopen(request, timeout=5).read()


def find_host(mesh, member):
    return next((p, s) for p, s in mesh.hosts if s["member"]["id"] == member)


def server_control(mesh, member, **behaviour):
    ip = find_host(mesh, member)[1]["addresses"]["peers"].split(":")[0]
    request = urllib.request.Request(f"http://{ip}:8000/standin/control",
                                     json.dumps(behaviour).encode())
    urllib.request.urlopen(request, timeout=5).read()


def domain_members():
    """Returns the members of TARGET_DOMAIN except the one that callers use."""
    return [f"{TARGET_DOMAIN}-{service}"
            for service in ("basket", "outlet", "quote")]


def kill_domain(mesh):
    for member in domain_members():
        mesh.kill(f"daemon-{member}")


def restart_domain(mesh):
    for member in domain_members():
        mesh.start_daemon(*find_host(mesh, member))


def member_runs(mesh):
    """Returns how many requests the server of TARGET_MEMBER has run."""
    ip = find_host(mesh, TARGET_MEMBER)[1]["addresses"]["peers"].split(":")[0]
    return json.loads(get(f"{ip}:8000", "/standin/counts"))["runs"]


def accept_second_version(mesh):
    """Has the last member accept a second document during the fault."""
    document = json.loads((mesh.folder / "document.json").read_text())
    document["routes"][0]["deadline_ms"] += 500
    path = mesh.logs / "second.json"
    path.write_text(json.dumps(document))
    mesh.control("accept", str(path), "--daemon", mesh.operators(-1))


# Fault name: (function that injects the fault, function that ends it).
FAULTS = {
    "none": (lambda m: None, lambda m: None),
    "daemon_kill": (lambda m: m.kill(f"daemon-{TARGET_MEMBER}"),
                    lambda m: m.start_daemon(*find_host(m, TARGET_MEMBER))),
    "daemon_pause": (
        lambda m: m.signal(f"daemon-{TARGET_MEMBER}", signal.SIGSTOP),
        lambda m: m.signal(f"daemon-{TARGET_MEMBER}", signal.SIGCONT)),
    "daemon_term": (lambda m: m.terminate(f"daemon-{TARGET_MEMBER}"),
                    lambda m: None),
    "server_kill": (lambda m: m.kill(f"server-{TARGET_MEMBER}"),
                    lambda m: None),
    "server_drain": (lambda m: m.terminate(f"server-{TARGET_MEMBER}"),
                     lambda m: None),
    "server_silent": (
        lambda m: server_control(m, TARGET_MEMBER, silent=True),
        lambda m: server_control(m, TARGET_MEMBER, silent=False)),
    "server_cut_answers": (
        lambda m: server_control(m, TARGET_MEMBER, cut_answers=True),
        lambda m: server_control(m, TARGET_MEMBER, cut_answers=False)),
    "domain_kill": (kill_domain, restart_domain),
    "platform_outage": (lambda m: platform_control(m, outage=True),
                        lambda m: platform_control(m, outage=False)),
    "platform_pause": (lambda m: m.signal("platform", signal.SIGSTOP),
                       lambda m: m.signal("platform", signal.SIGCONT)),
    "platform_slow_accept": (
        lambda m: (platform_control(m, delay_ms=400),
                   accept_second_version(m)),
        lambda m: platform_control(m, delay_ms=0)),
    "platform_answer_lost": (
        lambda m: (platform_control(m, lose_answers=1),
                   accept_second_version(m)),
        lambda m: None),
}


def start_callers(mesh):
    callers = []
    for number, member in enumerate(CALLER_MEMBERS):
        address = find_host(mesh, member)[1]["addresses"]["callers"]
        arguments = [str(mesh.build / "caller_standin"), "--to", address,
                     "--rate", str(CALLER_RATE),
                     "--seconds", str(CALLER_SECONDS),
                     "--name", f"caller{number}",
                     "--trace", str(mesh.logs / f"caller{number}.trace")]
        for route in ROUTES[mesh.name]:
            arguments += ["--request", route]
        callers.append(subprocess.Popen(arguments, stdout=subprocess.PIPE,
                                        text=True))
    return callers


class VersionSampler:
    """Samples the applied version of each daemon while a case runs and records
    each return to an earlier version."""

    PERIOD_SECONDS = 0.2

    def __init__(self, mesh):
        self.mesh = mesh
        self.newest = {}
        self.regressions = []
        self.stop_requested = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.stop_requested.wait(self.PERIOD_SECONDS):
            for settings in self.mesh.settings():
                self.sample(settings)

    def sample(self, settings):
        member = settings["member"]["id"]
        text = get(settings["addresses"]["operators"], "/status", timeout=0.2)
        version = json.loads(text)["config_version"] if text else 0
        # 0: no configuration is applied, so the daemon accepts no calls.
        if 0 < version < self.newest.get(member, 0):
            self.regressions.append(f"{member} reverted from version "
                                    f"{self.newest[member]} to {version}")
        self.newest[member] = max(version, self.newest.get(member, 0))

    def stop(self):
        self.stop_requested.set()
        self.thread.join()
        return self.regressions


def check_applied(mesh, version):
    """Waits up to APPLY_LIMIT_SECONDS after the end of the fault for every
    running daemon to apply the version; returns a line for each that has not.
    """
    def lagging():
        found = []
        for settings in mesh.settings():
            key = f"daemon-{settings['member']['id']}"
            if key not in mesh.processes:
                continue
            text = get(settings["addresses"]["operators"], "/status")
            if not text or json.loads(text)["config_version"] != version:
                found.append(settings["member"]["id"])
        return found

    deadline = time.monotonic() + APPLY_LIMIT_SECONDS
    while lagging() and time.monotonic() < deadline:
        time.sleep(0.05)
    return [f"version {version} is not applied on {member} "
            f"{APPLY_LIMIT_SECONDS} s after the fault" for member in lagging()]


def violations(mesh, fault, totals):
    """Checks invariants 5, 6, 7 and 9 on the traces; returns a line for each
    violation."""
    found = []
    runs = mesh.run_counts()
    for trace in mesh.logs.glob("caller*.trace"):
        for line in trace.read_text().splitlines():
            request, method, outcome = line.split(" ")
            count = runs.get(request, 0)
            if outcome == "refused" and count > 0:
                found.append(f"{request} was rejected as not executed but ran")
            if method == "POST" and count > 1:
                found.append(f"{request} ran {count} times")
            if outcome == "answered" and count == 0:
                found.append(f"{request} was answered but never ran")
            if outcome != "answered" and fault in PLANNED_STOPS:
                found.append(f"{request} had outcome {outcome} in a "
                             f"planned stop")
    if totals["mismatched"]:
        found.append(f"{totals['mismatched']} answers were incomplete or "
                     f"did not match their request")
    return found


def run_case(fault):
    begin_fault, end_fault = FAULTS[fault]
    mesh = Mesh("karoo", ROOT / "build")
    try:
        mesh.start()
        accept_first_document(mesh)
        callers = start_callers(mesh)
        sampler = VersionSampler(mesh)
        time.sleep(FAULT_START_SECONDS)
        if member_runs(mesh) == 0:
            raise MeshError(f"{TARGET_MEMBER} received no calls before the "
                            f"fault")
        begin_fault(mesh)
        time.sleep(FAULT_SECONDS)
        end_fault(mesh)
        lagging = check_applied(mesh, 2 if fault in ACCEPT_FAULTS else 1)
        results = [json.loads(c.communicate(timeout=60)[0]) for c in callers]
        totals = collections.Counter()
        for result in results:
            totals.update({k: v for k, v in result.items()
                           if isinstance(v, int)})
        found = violations(mesh, fault, totals) + lagging + sampler.stop()
        print(f"fault={fault} step=under_load violations={len(found)} "
              f"sent={totals['sent']} answered={totals['answered']} "
              f"refused={totals['refused']} unknown={totals['unknown']} "
              f"rerun=\"scripts/faults real -- {fault}\"", flush=True)
        for violation in found[:5]:
            print(f"  violation: {violation}")
        return not found
    except (MeshError, OSError, subprocess.SubprocessError) as error:
        print(f"fault={fault} step=under_load violations=1 "
              f"error=\"{error}\" logs={mesh.logs}", flush=True)
        return False
    finally:
        mesh.signal("", signal.SIGCONT)
        mesh.kill_all()


def accept_first_document(mesh):
    daemon = mesh.operators()
    mesh.control("accept", str(mesh.folder / "document.json"),
                 "--daemon", daemon)
    mesh.control("wait", "--daemon", daemon, "--version", "1",
                 "--members", str(len(mesh.hosts)))
    wait_for(lambda: registered_servers(mesh) == len(mesh.hosts), 10,
             "all backend servers to be registered")


def main():
    selected = [a for a in sys.argv[1:] if a != "--ci"] or list(FAULTS)
    unknown = [a for a in selected if a not in FAULTS]
    if unknown:
        print(f"faults: unknown fault: {' '.join(unknown)}", file=sys.stderr)
        return 2
    passed = sum(run_case(fault) for fault in selected)
    print(f"{passed} passed, {len(selected) - passed} failed")
    return 0 if passed == len(selected) else 1


if __name__ == "__main__":
    sys.exit(main())
