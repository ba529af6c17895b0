"""Case 2: an acknowledged departure is forgotten when the daemon is restarted
while the platform's store is down."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standin"))
import mesh  # noqa: E402

DRAIN_S = mesh.BOUNDS["drainMs"] / 1000
CONTACT_S = mesh.BOUNDS["contactMs"] / 1000


async def traffic(record, machine, until):
    """A client sends 20 requests a second, each on its own connection."""
    tasks = []
    while record.now() < until():
        connection = mesh.Connection(record, machine)

        async def one(used=connection):
            await used.request("GET", "/leny950/2f", deadline_ms=2000)
            used.close()

        tasks.append(asyncio.create_task(one()))
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)


async def main(record_path, trouble):
    # Two servers of each of two services, a daemon beside each.
    world = mesh.World(record_path, ["huvo11a", "wuno96b"], per_service=2)
    record = world.record
    try:
        await world.start([mesh.route("r-safe", "/leny950/", "huvo11a", "safe")])
        machine, server = world.machines[0], world.servers[0]
        end = [record.now() + 60]
        clients = asyncio.create_task(traffic(record, machine, lambda: end[0]))
        await asyncio.sleep(1)
        # This report is under way for some seconds. The server then leaves:
        # from here on it says nothing but its departure.
        server.silent_reports = True
        late_report = server.report()
        late_sent = record.now()
        silent_at = record.now()
        if trouble:
            world.store.go_silent()
        server.leaving = True
        status = 0
        while status != 200:  # A server repeats a call without an answer.
            status = await server.send_report({"born": server.born}, "DELETE")
        acknowledged = record.now()
        record.write("departure_acknowledged", server=server.id)
        # Planned work: the daemon is stopped and started again, the server next
        # to it continues running. The store comes back in between.
        machine.signal(signal.SIGTERM)
        await asyncio.wait_for(machine.process.wait(), mesh.BOUNDS["graceS"])
        if trouble:
            world.store.come_back()
            outage = record.now() - silent_at
            record.write("outage", seconds=f"{outage:.2f}")
            if outage > 4.5:
                raise mesh.CannotRun("the daemon took too long to stop")
        await asyncio.sleep(0.2)
        await machine.start()
        started = record.now()
        while await mesh.call(machine.ip, mesh.SERVED_PORTS["ready"], "GET",
                              "/-/ready") != 200:
            if record.now() - started > 10:
                raise mesh.CannotRun("the daemon is not ready again")
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.8)
        await server.send_report(late_report)
        record.write("late_report_arrived", sequence=late_report["sequence"],
                     late_s=f"{record.now() - late_sent:.2f}")
        # The server goes on serving for some seconds, then ends.
        in_touch = started + CONTACT_S + 0.2
        end[0] = in_touch + 2.5
        await clients
        await server.stop()
        late_runs = [(at, attempt) for at, attempt, _ in server.runs
                     if at > acknowledged + DRAIN_S and at > in_touch + 0.2]
        record.write("verdict", acknowledged=f"{acknowledged:.3f}",
                     in_touch_from=f"{in_touch:.3f}", late_runs=len(late_runs))
        for at, attempt in late_runs:
            record.write("late_run", request=attempt, at=f"{at:.3f}",
                         after_ack_s=f"{at - acknowledged:.3f}")
        print(f"{len(late_runs)} requests reached the server later than drainMs "
              "after its departure was acknowledged, sent by machines in touch")
        if os.environ.get("KEEP_LOGS"):
            print(open(machine.log_path, errors="replace").read()[-6000:])
        return len(late_runs) > 0
    finally:
        await world.end()


mesh.run_case(main, os.path.dirname(os.path.abspath(__file__)))
