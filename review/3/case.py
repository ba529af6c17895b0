"""Case 3: a daemon that is stopped gracefully cuts requests that still wait."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standin"))
import mesh  # noqa: E402

GRACE_S = mesh.BOUNDS["graceS"]
LOSS_SLACK_S = mesh.BOUNDS["lossSlackMs"] / 1000
TIMEOUT_MS = 5500
PER_SECOND = 36


async def main(record_path, trouble):
    world = mesh.World(record_path, ["huvo11a", "wuno96b"])
    record = world.record
    near, far = world.machines  # The only server of the route is beside far.
    try:
        await world.start([mesh.route("r-history", "/puka111/", "wuno96b",
                                      "unsafe", timeout_ms=TIMEOUT_MS,
                                      aim_ms=5300)])
        world.servers[1].work_s = 0.5
        idle = []
        answers = []

        async def one():
            connection = idle.pop() if idle else mesh.Connection(record, near)
            answers.append(await connection.request("POST", "/puka111/2f", b"paid",
                                                    deadline_ms=6000))
            if connection.writer:
                idle.append(connection)

        tasks = []

        async def load(until):
            due = record.now()
            while due < until:
                tasks.append(asyncio.create_task(one()))
                due += 1 / PER_SECOND
                await asyncio.sleep(max(0, due - record.now()))

        await load(record.now() + 3)
        stopped = record.now()
        if trouble:
            near.signal(signal.SIGTERM)
        # The platform asks whether the daemon is ready once a second; after two
        # misses clients send it nothing new.
        await load(stopped + 2)
        await asyncio.sleep(max(0, stopped + GRACE_S - record.now()))
        if trouble and near.process.returncode is None:
            near.signal(signal.SIGKILL)
        await asyncio.gather(*tasks)
        at_server = {attempt for _, attempt, _ in world.servers[1].runs}
        # Not counted: what a server was running, what reached the deadline or
        # the route's timeout.
        lost = [a for a in answers
                if a.status == 0 and a.attempt not in at_server and
                a.ended - a.sent > LOSS_SLACK_S and
                a.ended - a.sent < TIMEOUT_MS / 1000 - 0.2]
        for a in lost:
            record.write("lost", request=a.attempt,
                         sent_after_sigterm=f"{a.sent - stopped:.3f}",
                         cut_after_s=f"{a.ended - a.sent:.3f}")
        counts = {}
        for a in answers:
            counts[a.status] = counts.get(a.status, 0) + 1
        record.write("verdict", lost=len(lost), answers=counts)
        print(f"lost {len(lost)} requests that were read and that no server had "
              f"begun; answers by status {counts}")
        return len(lost) > 0
    finally:
        await world.end()


mesh.run_case(main, os.path.dirname(os.path.abspath(__file__)))
