"""Tests with callers that are not under our control, against real daemons.

  untrusted_callers.py DAEMON CASE [--memory-factor N]

Each case loads one daemon with requests of legal size and then checks that both
daemons live, that each stays within its memory and its descriptors, and that an
ordinary request is answered while the connections of the load are still open.
The load and the bounds are fixed; times and shares of served requests are not
checked. Exit status: 0 the checks hold, 1 a check failed, 2 the processes could
not be set up.

N is the factor for the memory bounds with a daemon that is built with
AddressSanitizer, which needs several times the memory for the same data.
"""

import argparse
import asyncio
import os
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..",
                                "testing"))
import mesh_processes as mesh  # noqa: E402

MEMORY_MB = 88  # The smallest host.
MAX_FDS = 1000
HEAD_BYTES = 16000  # maxHeaderBytes is 16,384.
BODY_BYTES = 5_000_000  # A sixteenth of 88 MB, the limit for one body, is 5.5 MB.
SMALL_CHUNK_BODY_BYTES = 1_500_000
# Bytes that a sender which stops just short of the end does not send.
WITHHELD_BYTES = 5
# The load goes on or is held for this long before the ordinary request.
LOAD_SECONDS = 6
# An ordinary caller repeats what was refused; the mesh has this long to answer.
ANSWER_SECONDS = 30
# A request runs for this long where the load needs one that runs.
SLOW_WORK_SECONDS = 3
PIECE = bytes(65536)
# The load goes to all daemons but the last, whose server is that of its requests.
SERVICES = ("near", "far")
MANY_SENDERS = 8


def heads():
    """Very many short and odd header lines; two thirds stop before the end."""
    short = b"a:\r\n"
    odd = b"x!#$%&'*+.^_`|~:\t \t\r\n"
    plans = []
    for index in range(480):
        head = mesh.request_head("GET", "/far/head")
        line = odd if index % 4 == 0 else short
        head += line * ((HEAD_BYTES - len(head)) // len(line))
        plans.append([head] if index % 3 else [head + b"\r\n"])
    return plans


def body_head(length):
    return mesh.request_head("POST", "/far/body",
                             [("Content-Length", length)]) + b"\r\n"


def whole_bodies():
    """Large bodies, each written as a whole."""
    return [[body_head(BODY_BYTES), memoryview(bytes(BODY_BYTES))]] * 40


def pieces(total):
    while total > 0:
        yield PIECE[:min(total, len(PIECE))]
        total -= len(PIECE)


def bodies_in_pieces():
    """Large bodies piece by piece, of which three in four do not end."""
    return [[body_head(BODY_BYTES),
             *pieces(BODY_BYTES - (WITHHELD_BYTES if index % 4 else 0))]
            for index in range(40)]


def chunked(body_bytes, chunk_bytes, ends):
    chunk = b"%x\r\n" % chunk_bytes + bytes(chunk_bytes) + b"\r\n"
    per_write = max(1, 65536 // len(chunk))
    writes = body_bytes // chunk_bytes // per_write
    head = mesh.request_head("POST", "/far/chunked",
                             [("Transfer-Encoding", "chunked")]) + b"\r\n"
    return [head, *[chunk * per_write] * writes, b"0\r\n\r\n" if ends else b"0"]


def large_chunks():
    """Chunked bodies in large chunks, of which three in four do not end."""
    return [chunked(BODY_BYTES, 262144, index % 4 == 0) for index in range(40)]


def small_chunks():
    """Chunked bodies in very small chunks, of which three in four do not end."""
    return [chunked(SMALL_CHUNK_BODY_BYTES, 8, index % 4 == 0)
            for index in range(100)]


def idle_connections():
    """Connections without a request, more than there are descriptors for
    callers."""
    return [[]] * 900


def bytes_after_close():
    """A request after which the connection is to be closed, and 12 MB behind it
    while the request runs."""
    head = mesh.request_head("GET", "/far/last", [("Connection", "close")])
    return [[head + b"\r\n", *pieces(12_000_000)] for _ in range(9)]


def large_responses():
    """Requests for large responses; every second caller does not read its
    response."""
    return [[mesh.request_head("GET", "/far/large") + b"\r\n",
             *([] if index % 2 else [None])] for index in range(40)]


def many_senders():
    """Large bodies to one server from each of several daemons."""
    return whole_bodies()[:4]


CASES = {"heads": heads, "many_senders": many_senders, "idle_connections": idle_connections,
         "bytes_after_close": bytes_after_close,
         "large_responses": large_responses, "whole_bodies": whole_bodies,
         "bodies_in_pieces": bodies_in_pieces, "large_chunks": large_chunks,
         "small_chunks": small_chunks}


async def send_plan(machine, plan):
    """Sends the parts on one connection and reads what is returned until the
    task is cancelled. The connection stays open. After a part None nothing is
    read."""
    loop = asyncio.get_running_loop()
    with socket.socket() as connection:
        connection.setblocking(False)

        async def read():
            while await loop.sock_recv(connection, 65536):
                pass
        reading = None
        try:
            await loop.sock_connect(
                connection, (machine.ip, mesh.SERVED_PORTS["outbound"]))
            reading = asyncio.create_task(read())
            for part in plan:
                if part is None:
                    reading.cancel()
                    await asyncio.Event().wait()
                await loop.sock_sendall(connection, part)
                await asyncio.sleep(0)
            await reading
        except OSError:
            pass  # The daemon may refuse the request or close.
        finally:
            if reading:
                reading.cancel()
                await asyncio.gather(reading, return_exceptions=True)


async def ordinary_request(machine):
    end = time.monotonic() + ANSWER_SECONDS
    while time.monotonic() < end:
        status = await mesh.request(machine, "GET", "/far/ordinary")
        if status == 200:
            return True
        await asyncio.sleep(0.5)
    return False


async def run(arguments):
    environment = {}
    if arguments.memory_factor > 1:
        # Freed memory that AddressSanitizer keeps is not the daemon's use.
        environment["ASAN_OPTIONS"] = "quarantine_size_mb=4"
    services = SERVICES
    if arguments.case == "many_senders":
        services = [f"near{index}" for index in range(MANY_SENDERS)] + ["far"]
    world = mesh.Mesh(arguments.daemon, services, MEMORY_MB, MAX_FDS,
                      environment=environment)
    load = []
    try:
        await world.start()
        senders = world.machines[:-1]
        for sender in senders:
            if not await ordinary_request(sender):
                raise mesh.HarnessError("no answer before the load")
        server = world.servers[-1]
        if arguments.case == "bytes_after_close":
            server.work_s = SLOW_WORK_SECONDS
        if arguments.case == "large_responses":
            server.large_path, server.large_bytes = "/far/large", BODY_BYTES
        load = [asyncio.create_task(send_plan(sender, plan))
                for sender in senders for plan in CASES[arguments.case]()]
        await asyncio.sleep(LOAD_SECONDS)
        found = []
        if not await ordinary_request(senders[0]):
            found.append("an ordinary request was not answered")
        found += mesh.resource_failures(world.machines, MEMORY_MB, MAX_FDS,
                                        arguments.memory_factor)
        for machine in world.machines:
            print(machine.describe(), flush=True)
        for text in found:
            print(f"FAILED {arguments.case}: {text}")
        return 1 if found else 0
    finally:
        for task in load:
            task.cancel()
        await asyncio.gather(*load, return_exceptions=True)
        await world.end()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("daemon")
    parser.add_argument("case", choices=sorted(CASES))
    parser.add_argument("--memory-factor", type=int, default=1)
    try:
        return asyncio.run(run(parser.parse_args()))
    except mesh.HarnessError as error:
        print(f"not run: {error}")
        return 2


if __name__ == "__main__":
    sys.exit(main())
