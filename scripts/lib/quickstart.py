"""Runs an example deployment from start to stop; checks the request counts."""
import json
import pathlib
import subprocess
import sys
import tempfile

from mesh import Mesh, MeshError, get, wait_for

ROUTES = {
    "karoo": ["GET /baskets/7", "GET /outlets/3", "POST /quotes",
              "GET /quotes/9", "GET /index/preview"],
    "kiambu": ["GET /catalogue/search", "POST /licences",
               "GET /clearances/5", "GET /rights/8"],
}
CALLER_SECONDS = 4
CALLER_RATE = 200


def start_caller(mesh, name, daemons):
    arguments = [str(mesh.build / "caller_standin"), "--to", *daemons,
                 "--rate", str(CALLER_RATE), "--seconds", str(CALLER_SECONDS),
                 "--name", name]
    for route in ROUTES[mesh.name]:
        arguments += ["--request", route]
    return subprocess.Popen(arguments, stdout=subprocess.PIPE, text=True)


def registered_servers(mesh):
    """Returns how many backend servers the first daemon knows."""
    status = json.loads(get(mesh.operators(), "/status") or "{}")
    return sum(len(m["servers"]) for m in status.get("members", []))


def accept_document(mesh, document, version):
    daemon = mesh.operators()
    print(mesh.control("accept", str(document), "--daemon", daemon))
    print(mesh.control("wait", "--daemon", daemon, "--version", str(version),
                       "--members", str(len(mesh.hosts))))


def second_document(mesh):
    """Writes the example document with a deadline 500 ms longer on its first
    route; returns the path."""
    document = json.loads((mesh.folder / "document.json").read_text())
    document["routes"][0]["deadline_ms"] += 500
    path = pathlib.Path(tempfile.mkdtemp()) / "document.json"
    path.write_text(json.dumps(document))
    return path


def check_counts(mesh, totals, servers):
    runs = sum(s["runs"] for s in servers)
    repeated = sum(len(s["repeated"]) for s in servers)
    print(f"answered={totals['answered']} refused_not_run={totals['refused']} "
          f"unknown={totals['unknown']} mismatched={totals['mismatched']} "
          f"server_runs={runs} repeated={repeated}")
    if totals["sent"] != totals["answered"]:
        raise MeshError(f"not every request was answered: {totals}")
    if totals["mismatched"] or totals["failed"] or repeated:
        raise MeshError(f"answers were wrong or requests ran more "
                        f"than once: {totals}")
    if runs != totals["answered"]:
        raise MeshError(f"backend servers ran {runs} requests, callers "
                        f"received {totals['answered']} answers")


def run(mesh):
    mesh.start()
    print(f"started {len(mesh.hosts)} daemons and backend servers, logs in "
          f"{mesh.logs}")
    accept_document(mesh, mesh.folder / "document.json", 1)
    wait_for(lambda: registered_servers(mesh) == len(mesh.hosts), 10,
             "all backend servers to be registered")
    half = len(mesh.hosts) // 2
    callers = [start_caller(mesh, "caller-a", mesh.callers()[:half]),
               start_caller(mesh, "caller-b", mesh.callers()[half:])]
    accept_document(mesh, second_document(mesh), 2)
    results = [json.loads(caller.communicate()[0]) for caller in callers]
    servers = mesh.server_counts()
    totals = {key: sum(r[key] for r in results)
              for key in ("sent", "answered", "failed", "refused", "unknown",
                          "mismatched")}
    mesh.terminate("server-")
    mesh.terminate("daemon-")
    mesh.terminate("platform")
    check_counts(mesh, totals, servers)


def main():
    name = sys.argv[1] if len(sys.argv) > 1 else "karoo"
    if name not in ROUTES:
        print(f"quickstart: unknown deployment '{name}'; known: "
              f"{', '.join(ROUTES)}", file=sys.stderr)
        return 2
    mesh = Mesh(name, sys.argv[2] if len(sys.argv) > 2 else "build")
    try:
        run(mesh)
    except MeshError as error:
        print(f"quickstart: failed: {error}\nlogs: {mesh.logs}",
              file=sys.stderr)
        return 1
    finally:
        mesh.kill_all()
    print("quickstart: ok")
    return 0


if __name__ == "__main__":
    sys.exit(main())
