"""Stops backend servers and daemons one after another under load.

Checks that no request was cut: each was answered, or refused before it ran.

    python3 scripts/lib/drain.py [karoo|kiambu]
"""
import json
import sys
import time

import quickstart
from mesh import Mesh, MeshError, wait_for

STOP_SPACING = 0.4


def stop_one_by_one(mesh, keys):
    """SIGTERM to each process in turn; returns the longest time to stop."""
    begun = {}
    for key in keys:
        begun[key] = time.monotonic()
        mesh.processes[key].terminate()
        time.sleep(STOP_SPACING)
    longest = 0
    for key in keys:
        status = mesh.processes.pop(key).wait(30)
        longest = max(longest, time.monotonic() - begun[key])
        if status != 0:
            raise MeshError(f"{key} ended with status {status}")
    return longest


def first_of_each_service(mesh, prefix):
    """Keys of one process a service, so that each service keeps others."""
    chosen = {}
    for settings in mesh.settings():
        member = settings["member"]
        service = member["id"].removeprefix(member["failure_domain"] + "-")
        chosen.setdefault(service, f"{prefix}-{member['id']}")
    return list(chosen.values())


def run(mesh):
    mesh.start()
    quickstart.accept(mesh, mesh.folder / "document.json", 1)
    wait_for(lambda: quickstart.offers_known(mesh) == len(mesh.hosts), 10,
             "all backend servers to be known")
    daemons = first_of_each_service(mesh, "daemon")
    servers = [key.replace("daemon-", "server-") + "-v1" for key in daemons]
    staying = [s["addresses"]["callers"] for s in mesh.settings()
               if f"daemon-{s['member']['id']}" not in daemons]
    stopping = [s["addresses"]["callers"] for s in mesh.settings()
                if f"daemon-{s['member']['id']}" in daemons]
    callers = [quickstart.start_caller(mesh, "staying", staying),
               quickstart.start_caller(mesh, "stopping", stopping)]
    time.sleep(0.5)
    half = len(daemons) // 2
    order = (servers[:half] + daemons[:half] +
             daemons[half:] + servers[half:])
    longest = stop_one_by_one(mesh, order)
    results = [json.loads(caller.communicate()[0]) for caller in callers]
    failures = []
    for name, result in zip(("staying", "stopping"), results):
        print(f"callers={name} sent={result['sent']} "
              f"answered={result['answered']} refused={result['refused']} "
              f"unknown={result['unknown']} mismatched={result['mismatched']} "
              f"reasons={json.dumps(result['reasons'])}")
        if result["unknown"] or result["mismatched"]:
            failures.append(f"requests were cut or mixed up ({name})")
    if results[0]["refused"]:
        failures.append("a staying daemon refused requests")
    print(f"stopped={len(order)} longest_stop_s={longest:.2f}")
    if failures:
        raise MeshError("; ".join(failures))


def main():
    name = sys.argv[1] if len(sys.argv) > 1 else "kiambu"
    mesh = Mesh(name, "build")
    quickstart.CALLER_SECONDS = 8
    try:
        run(mesh)
    except MeshError as error:
        print(f"drain: failed: {error}\nlogs: {mesh.logs}", file=sys.stderr)
        return 1
    finally:
        mesh.kill_all()
    print("drain: ok")
    return 0


if __name__ == "__main__":
    sys.exit(main())
