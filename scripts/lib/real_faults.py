"""Faults on real processes: one mesh a fault, calls all the while, and the
invariants checked on the traces of callers and backend servers.

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
from quickstart import ROUTES, accept, offers_known

SECONDS = 6
RATE = 200
FAULT_AT = 1.5
HEAL_AFTER = 2.5
IN_FORCE_SECONDS = 3
# Faults during which a second version is accepted.
ACCEPTING = {"platform_slow_accept", "platform_answer_lost"}
DOMAIN = "pretoria-a"
# Callers use these daemons; calls prefer servers of the same failure domain, so
# that the faults of DOMAIN and MEMBER meet them.
CALLER_MEMBERS = ("pretoria-a-index", "pretoria-b-index")
MEMBER = "pretoria-a-quote"
# What a caller may see of a fault that is a planned stop.
PLANNED = {"daemon_term", "server_drain"}


def platform_control(mesh, **switches):
    request = urllib.request.Request(
        f"http://{mesh.platform_address}/control",
        json.dumps(switches).encode())
    urllib.request.urlopen(request, timeout=5).read()


def host_of(mesh, member):
    return next((p, s) for p, s in mesh.hosts if s["member"]["id"] == member)


def server_control(mesh, member, **behaviour):
    ip = host_of(mesh, member)[1]["addresses"]["peers"].split(":")[0]
    request = urllib.request.Request(f"http://{ip}:8000/standin/control",
                                     json.dumps(behaviour).encode())
    urllib.request.urlopen(request, timeout=5).read()


def domain_members():
    """Members of DOMAIN but for the one that callers use."""
    return [f"{DOMAIN}-{service}" for service in ("basket", "outlet", "quote")]


def kill_domain(mesh):
    for member in domain_members():
        mesh.kill(f"daemon-{member}")


def restart_domain(mesh):
    for member in domain_members():
        mesh.start_daemon(*host_of(mesh, member))


def member_runs(mesh):
    """Runs so far at the backend server beside MEMBER."""
    ip = host_of(mesh, MEMBER)[1]["addresses"]["peers"].split(":")[0]
    return json.loads(get(f"{ip}:8000", "/standin/counts"))["runs"]


def second_version(mesh):
    """Accepts another document while the fault lasts."""
    document = json.loads((mesh.folder / "document.json").read_text())
    document["routes"][0]["deadline_ms"] += 500
    path = mesh.logs / "second.json"
    path.write_text(json.dumps(document))
    mesh.control("accept", str(path), "--daemon", mesh.operators(-1))


# Fault: (what begins it, what ends it).
FAULTS = {
    "none": (lambda m: None, lambda m: None),
    "daemon_kill": (lambda m: m.kill(f"daemon-{MEMBER}"),
                    lambda m: m.start_daemon(*host_of(m, MEMBER))),
    "daemon_pause": (lambda m: m.signal(f"daemon-{MEMBER}", signal.SIGSTOP),
                     lambda m: m.signal(f"daemon-{MEMBER}", signal.SIGCONT)),
    "daemon_term": (lambda m: m.terminate(f"daemon-{MEMBER}"),
                    lambda m: None),
    "server_kill": (lambda m: m.kill(f"server-{MEMBER}"), lambda m: None),
    "server_drain": (lambda m: m.terminate(f"server-{MEMBER}"),
                     lambda m: None),
    "server_silent": (lambda m: server_control(m, MEMBER, silent=True),
                      lambda m: server_control(m, MEMBER, silent=False)),
    "server_cut_answers": (
        lambda m: server_control(m, MEMBER, cut_answers=True),
        lambda m: server_control(m, MEMBER, cut_answers=False)),
    "domain_kill": (kill_domain, restart_domain),
    "platform_outage": (lambda m: platform_control(m, outage=True),
                        lambda m: platform_control(m, outage=False)),
    "platform_pause": (lambda m: m.signal("platform", signal.SIGSTOP),
                       lambda m: m.signal("platform", signal.SIGCONT)),
    "platform_slow_accept": (
        lambda m: (platform_control(m, delay_ms=400), second_version(m)),
        lambda m: platform_control(m, delay_ms=0)),
    "platform_answer_lost": (
        lambda m: (platform_control(m, lose_answers=1), second_version(m)),
        lambda m: None),
}


def start_callers(mesh):
    callers = []
    for number, member in enumerate(CALLER_MEMBERS):
        address = host_of(mesh, member)[1]["addresses"]["callers"]
        arguments = [str(mesh.build / "caller_standin"), "--to", address,
                     "--rate", str(RATE), "--seconds",
                     str(SECONDS), "--name", f"caller{number}", "--trace",
                     str(mesh.logs / f"caller{number}.trace")]
        for route in ROUTES[mesh.name]:
            arguments += ["--request", route]
        callers.append(subprocess.Popen(arguments, stdout=subprocess.PIPE,
                                        text=True))
    return callers


class VersionSampler:
    """Samples the version in force on each daemon while a case runs."""

    PERIOD = 0.2

    def __init__(self, mesh):
        self.mesh = mesh
        self.newest = {}
        self.found = []
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.ended.wait(self.PERIOD):
            for settings in self.mesh.settings():
                self.sample(settings)

    def sample(self, settings):
        member = settings["member"]["id"]
        text = get(settings["addresses"]["operators"], "/status", timeout=0.2)
        version = json.loads(text)["config_version"] if text else 0
        # 0: nothing is in force, so the daemon accepts no calls.
        if 0 < version < self.newest.get(member, 0):
            self.found.append(f"{member} went back from version "
                              f"{self.newest[member]} to {version}")
        self.newest[member] = max(version, self.newest.get(member, 0))

    def stop(self):
        self.ended.set()
        self.thread.join()
        return self.found


def in_force_everywhere(mesh, version):
    """Daemons that run and lack the version once every fault has ended."""
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

    deadline = time.monotonic() + IN_FORCE_SECONDS
    while lagging() and time.monotonic() < deadline:
        time.sleep(0.05)
    return [f"version {version} is not in force on {member} "
            f"{IN_FORCE_SECONDS} s after the fault" for member in lagging()]


def violations(mesh, fault, totals):
    """Invariants 5, 6, 7 and 9 on the traces; a line for each violation."""
    found = []
    runs = mesh.runs()
    for trace in mesh.logs.glob("caller*.trace"):
        for line in trace.read_text().splitlines():
            request, method, end = line.split(" ")
            count = runs.get(request, 0)
            if end == "refused" and count > 0:
                found.append(f"{request} was refused as not run and ran")
            if method == "POST" and count > 1:
                found.append(f"{request} ran {count} times")
            if end == "answered" and count == 0:
                found.append(f"{request} was answered and never ran")
            if end != "answered" and fault in PLANNED:
                found.append(f"{request} ended {end} in a planned stop")
    if totals["mismatched"]:
        found.append(f"{totals['mismatched']} answers were mismatched")
    return found


def run_case(fault):
    begin, end = FAULTS[fault]
    mesh = Mesh("karoo", ROOT / "build")
    try:
        mesh.start()
        accept_quietly(mesh)
        callers = start_callers(mesh)
        sampler = VersionSampler(mesh)
        time.sleep(FAULT_AT)
        if member_runs(mesh) == 0:
            raise MeshError(f"{MEMBER} got no calls before the fault")
        begin(mesh)
        time.sleep(HEAL_AFTER)
        end(mesh)
        lagging = in_force_everywhere(mesh, 2 if fault in ACCEPTING else 1)
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
        for each in found[:5]:
            print(f"  violation: {each}")
        return not found
    except (MeshError, OSError, subprocess.SubprocessError) as error:
        print(f"fault={fault} step=under_load violations=1 "
              f"error=\"{error}\" logs={mesh.logs}", flush=True)
        return False
    finally:
        mesh.signal("", signal.SIGCONT)
        mesh.kill_all()


def accept_quietly(mesh):
    daemon = mesh.operators()
    mesh.control("accept", str(mesh.folder / "document.json"),
                 "--daemon", daemon)
    mesh.control("wait", "--daemon", daemon, "--version", "1",
                 "--members", str(len(mesh.hosts)))
    wait_for(lambda: offers_known(mesh) == len(mesh.hosts), 10,
             "all backend servers to be known")


def main():
    chosen = [a for a in sys.argv[1:] if a != "--ci"] or list(FAULTS)
    unknown = [a for a in chosen if a not in FAULTS]
    if unknown:
        print(f"faults: no such fault: {' '.join(unknown)}", file=sys.stderr)
        return 2
    passed = sum(run_case(fault) for fault in chosen)
    print(f"{passed} passed, {len(chosen) - passed} failed")
    return 0 if passed == len(chosen) else 1


if __name__ == "__main__":
    sys.exit(main())
