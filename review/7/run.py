"""Another writer sends one liveness report to each machine: of a server whose
service no configuration names, at the address where the machine's own server runs.
Such a report names no server to use, and the others hold (PROTOCOL.md)."""

import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-2"))
from case import DAEMON, TROUBLE, mesh, run  # noqa: E402

MEMORY_MB = 110
MAX_FDS = 4100
SERVICES = ["near", "far", "east", "west"]
TRAFFIC_AFTER_SECONDS = 8  # "Traffic starts 8 s after the machines do."
TRAFFIC_SECONDS = 24
REQUEST_PERIOD = 0.1


async def foreign_report(machine, index, record):
    body = {"service": "retired", "address":
            f"{machine.ip}:{mesh.SERVED_PORTS['app']}", "zone": machine.zone,
            "version": "v1", "capacity": 9, "state": "ready", "warmupLeftMs": 0,
            "sequence": 1, "born": int(time.time() * 1000)}
    status = await mesh.call(machine.ip, mesh.SERVED_PORTS["control"], "PUT",
                             f"/-/instances/i-other{index}",
                             json.dumps(body).encode())
    record.say(f"report of another writer to {machine.name}: {json.dumps(body)} "
               f"-> {status}")


async def play(record):
    world = mesh.Mesh(DAEMON, SERVICES, MEMORY_MB, MAX_FDS)
    try:
        started = time.monotonic()
        await world.start()
        record.say(f"{len(world.machines)} daemons are ready, their servers have "
                   "reported")
        if TROUBLE:
            await asyncio.sleep(max(0, started + 4 - time.monotonic()))
            for index, machine in enumerate(world.machines):
                await foreign_report(machine, index, record)
        await asyncio.sleep(max(0, started + TRAFFIC_AFTER_SECONDS
                                - time.monotonic()))
        sent, served, statuses = 0, 0, {}
        pending = set()

        async def one(machine, service, number):
            nonlocal served
            status = await mesh.request(machine, "GET", f"/{service}/{number}",
                                        timeout=5.0)
            record.write(f"request {number} for {service} to {machine.name}: "
                         f"{status}")
            statuses[status] = statuses.get(status, 0) + 1
            served += status == 200

        end = time.monotonic() + TRAFFIC_SECONDS
        while time.monotonic() < end:
            machine = world.machines[sent % len(world.machines)]
            service = SERVICES[sent // len(world.machines) % len(SERVICES)]
            task = asyncio.create_task(one(machine, service, sent))
            pending.add(task)
            task.add_done_callback(pending.discard)
            sent += 1
            await asyncio.sleep(REQUEST_PERIOD)
        await asyncio.gather(*pending)
        for server in world.servers:
            health = await mesh.call(server.machine.ip, mesh.SERVED_PORTS["app"],
                                     "GET", "/health")
            status = await server.send_report(server.report())
            record.say(f"server {server.id} of {server.service}: health {health}, "
                       f"report {server.sequence} acknowledged with {status}")
        record.say(f"{served} of {sent} requests served; by status {statuses}")
        if not all(machine.alive() for machine in world.machines):
            record.say("a daemon has ended")
        return [] if served else ["Fault: no request is served"]
    finally:
        await world.end()


if __name__ == "__main__":
    sys.exit(run(FOLDER, play))
