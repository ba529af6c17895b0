"""Stops backend servers and daemons one after another under load.

Checks that no request was cut off: each is answered, or rejected before
execution.

    python3 scripts/lib/drain.py [karoo|kiambu]
"""
import json
import sys
import time

import quickstart
from mesh import Mesh, MeshError, wait_for

STOP_SPACING_SECONDS = 0.4


def stop_one_by_one(mesh, keys):
    """Sends SIGTERM to the processes, one every STOP_SPACING_SECONDS.

    Returns the longest time in seconds that a process took to stop.
    """
    signalled_at = {}
    for key in keys:
        signalled_at[key] = time.monotonic()
        mesh.processes[key].terminate()
        time.sleep(STOP_SPACING_SECONDS)
    longest = 0
    for key in keys:
        status = mesh.processes.pop(key).wait(30)
        longest = max(longest, time.monotonic() - signalled_at[key])
        if status != 0:
            raise MeshError(f"{key} exited with status {status}")
    return longest


def one_process_per_service(mesh, prefix):
    """Returns the key of one process per service, so that every service keeps
    other instances."""
    key_by_service = {}
    for settings in mesh.settings():
        member = settings["member"]
        service = member["id"].removeprefix(member["failure_domain"] + "-")
        key_by_service.setdefault(service, f"{prefix}-{member['id']}")
    return list(key_by_service.values())


def run(mesh):
    mesh.start()
    quickstart.accept_document(mesh, mesh.folder / "document.json", 1)
    wait_for(lambda: quickstart.registered_servers(mesh) == len(mesh.hosts),
             10, "all backend servers to be registered")
    daemons = one_process_per_service(mesh, "daemon")
    servers = [key.replace("daemon-", "server-") + "-v1" for key in daemons]
    staying_daemons = [s["addresses"]["callers"] for s in mesh.settings()
                       if f"daemon-{s['member']['id']}" not in daemons]
    stopping_daemons = [s["addresses"]["callers"] for s in mesh.settings()
                        if f"daemon-{s['member']['id']}" in daemons]
    callers = [quickstart.start_caller(mesh, "staying", staying_daemons),
               quickstart.start_caller(mesh, "stopping", stopping_daemons)]
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
            failures.append(
                f"requests were cut off or got wrong answers ({name})")
    if results[0]["refused"]:
        failures.append(
            "requests were rejected at a daemon that was not stopped")
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
