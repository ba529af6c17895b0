"""What the platform does with a process, and ordinary callers beside the load."""

import asyncio
import random
import time

from case import mesh

RESTART_SECONDS = 0.5
# Fault: "on a tenth of the machines in use (two at least) processes end by
# themselves three times in the day".
ENDS_PER_MACHINE = 3
MACHINES_WITH_ENDS = 2


def restart_later(machine):
    """From now on the settings say that the system does not start anew."""
    write_first = type(machine).write_settings

    def write_settings():
        write_first(machine)
        with open(machine.settings_file, encoding="utf-8") as file:
            text = file.read()
        with open(machine.settings_file, "w", encoding="utf-8") as file:
            file.write(text.replace("bootstrap = true", "bootstrap = false"))

    machine.write_settings = write_settings


class Watched:
    """A machine with what the platform does: it kills a process that exceeds its
    memory and starts it again."""

    def __init__(self, machine, memory_mb, record):
        self.machine, self.memory_mb, self.record = machine, memory_mb, record
        self.ends = 0
        self.peak = 0
        self.stopping = False

    def resident(self):
        try:
            with open(f"/proc/{self.machine.process.pid}/status",
                      encoding="ascii") as file:
                for line in file:
                    if line.startswith("VmRSS"):
                        return int(line.split()[1]) * 1024
        except OSError:
            pass
        return 0

    async def watch(self):
        noted = 0
        while not self.stopping:
            await asyncio.sleep(0.05)
            bytes_now = self.resident()
            self.peak = max(self.peak, bytes_now)
            if bytes_now > noted + (16 << 20):
                noted = bytes_now
                self.record.write(f"{self.machine.name} holds "
                                  f"{bytes_now >> 20} MB")
            ended = not self.machine.alive()
            if not ended and bytes_now <= self.memory_mb << 20:
                continue
            self.ends += 1
            self.record.say(f"{self.machine.name}: " + (
                "ended by itself" if ended else
                f"{bytes_now >> 20} MB exceed its {self.memory_mb} MB: killed")
                + f" (end {self.ends})")
            await self.machine.end()
            await asyncio.sleep(RESTART_SECONDS)
            if self.stopping:
                return
            restart_later(self.machine)
            await self.machine.start()
            noted = 0


class OrdinaryCallers:
    """One request each half second to each machine, on a new connection."""

    def __init__(self, machines, services, record):
        self.machines, self.services, self.record = machines, services, record
        self.counts = {machine.name: {} for machine in machines}

    async def run_on(self, machine):
        while True:
            service = random.choice(self.services)
            status = await mesh.request(machine, "GET", f"/{service}/ordinary",
                                        timeout=5.0)
            counts = self.counts[machine.name]
            counts[status] = counts.get(status, 0) + 1
            self.record.write(f"ordinary request to {machine.name}: "
                              f"{status or 'no answer in 5 s'}")
            await asyncio.sleep(0.5)

    async def run(self):
        await asyncio.gather(*[self.run_on(each) for each in self.machines])


async def watch_for_ends(world, loads, seconds, record):
    """Plays the coroutines loads for that long, or until processes have ended as
    often as the rule names. Returns the broken rules."""
    watched = [Watched(machine, world.memory_mb, record)
               for machine in world.machines]
    ordinary = OrdinaryCallers(world.machines, world.services, record)
    watches = [asyncio.create_task(each.watch()) for each in watched]
    tasks = [asyncio.create_task(each) for each in loads]
    tasks.append(asyncio.create_task(ordinary.run()))
    often = []
    try:
        end = time.monotonic() + seconds
        while time.monotonic() < end and len(often) < MACHINES_WITH_ENDS:
            await asyncio.sleep(0.5)
            often = [each.machine.name for each in watched
                     if each.ends >= ENDS_PER_MACHINE]
            for task in watches + tasks:
                if task.done():
                    task.result()
    finally:
        for task in tasks:
            task.cancel()
        # Not cancelled: a process that is being started would be left behind.
        for each in watched:
            each.stopping = True
        await asyncio.gather(*watches, *tasks, return_exceptions=True)
    for each in watched:
        record.say(f"{each.machine.name}: ended {each.ends} times, at most "
                   f"{each.peak >> 20} MB; ordinary requests by status "
                   f"(0: no answer): {ordinary.counts[each.machine.name]}")
    if len(often) < MACHINES_WITH_ENDS:
        return []
    return [f"Fault: processes ended {ENDS_PER_MACHINE} times on "
            f"{', '.join(often)}"]
