"""Case 1: a liveness report whose id cannot be read ends the daemon."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standin"))
import mesh  # noqa: E402


async def main(record_path, trouble):
    world = mesh.World(record_path, ["huvo11a", "wuno96b"])
    record = world.record
    try:
        await world.start([mesh.route("r-safe", "/leny950/", "huvo11a", "safe"),
                           mesh.route("r-unsafe", "/puka111/", "wuno96b",
                                      "unsafe")])
        machine = world.machines[0]
        for server in world.servers:
            server.work_s = 0.6
        connections = [mesh.Connection(record, machine) for _ in range(8)]
        # Each connection has served a request before: it is a kept one.
        warm = await asyncio.gather(*[c.request("POST", "/puka111/warm", b"x")
                                      for c in connections])
        if any(a.status != 200 for a in warm):
            raise mesh.CannotRun("a request before the trouble was not served")
        pending = [asyncio.create_task(c.request("POST", "/puka111/2f", b"paid"))
                   for c in connections]
        await asyncio.sleep(0.3)
        # The report of another writer: its id is bytes that cannot be read.
        name = b"i-\xff\xfe7f3a" if trouble else b"i-7f3a91c2"
        report = {"service": "huvo11a", "address": f"{machine.ip}:8399",
                  "zone": machine.zone, "version": "v1", "capacity": 9,
                  "state": "ready", "warmupLeftMs": 0, "sequence": 4,
                  "born": world.servers[0].born}
        status = await mesh.call(machine.ip, mesh.SERVED_PORTS["control"], "PUT",
                                 b"/-/instances/" + name,
                                 json.dumps(report).encode())
        record.write("foreign_report", id=name, status=status)
        answers = await asyncio.gather(*pending)
        await asyncio.sleep(0.3)
        run = {attempt for server in world.servers
               for _, attempt, _ in server.runs}
        lost = [a for a in answers if a.status == 0 and a.attempt in run]
        record.write("verdict", lost=len(lost), of=len(answers),
                     daemon_ended_by_itself=machine.ended_by_itself)
        for a in lost:
            record.write("lost", request=a.attempt, sent=f"{a.sent:.3f}",
                         cut=f"{a.ended:.3f}")
        print(f"lost {len(lost)} of {len(answers)} requests that servers ran; "
              f"the daemon ended by itself {machine.ended_by_itself} times")
        if os.environ.get("KEEP_LOGS"):
            print(open(machine.log_path, errors="replace").read()[-3000:])
        return len(lost) > 3
    finally:
        await world.end()


mesh.run_case(main, os.path.dirname(os.path.abspath(__file__)))
