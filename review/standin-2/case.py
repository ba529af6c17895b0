"""What the scripted cases of this review share: the record of a run, the exit
status, and a mesh of real daemons (testing/mesh_processes.py).

Exit status of a case: 0 the rule held, 1 it was broken, 2 the case could not run.
With TROUBLE=0 in the environment the case leaves its disruption out.
"""

import asyncio
import os
import resource
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "testing"))
import mesh_processes as mesh  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The program that the deploy file builds and runs.
DAEMON = os.path.join(ROOT, "target", "cyclamenwind-meshd")
# No case takes longer; after it, the case counts as not run.
LIMIT_SECONDS = 110
# For the connections of callers and the daemon's own limit, if the machine allows.
MIN_DESCRIPTORS = 8192


class Record:
    """Lines with the time since the start, in record.txt beside the script."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def write(self, text):
        line = f"{time.monotonic() - self.started:8.3f} s  {text}"
        self.file.write(line + "\n")
        self.file.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


def run(folder, play):
    """Runs the coroutine function play(record), which returns the broken rules."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = MIN_DESCRIPTORS if hard == resource.RLIM_INFINITY else min(
        MIN_DESCRIPTORS, hard)
    if soft != resource.RLIM_INFINITY and soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
    record = Record(folder)
    record.say(f"trouble: {'yes' if TROUBLE else 'no'}")

    async def limited():
        async with asyncio.timeout(LIMIT_SECONDS):
            return await play(record)

    try:
        broken = asyncio.run(limited())
    except Exception as error:  # Whatever fails here says nothing about the rule.
        record.say(f"not run: {error!r}".replace(ROOT + os.sep, ""))
        return 2
    for text in broken:
        record.say(f"BROKEN {text}")
    if not broken:
        record.say("held")
    return 1 if broken else 0
