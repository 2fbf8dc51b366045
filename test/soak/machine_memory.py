#!/usr/bin/env python3
"""Guards against hosts that use more memory than their machines have.

Callers send or get large bodies at entry hosts of little memory, more of them for a while, beside callers of small
requests. A watcher does what the platform does: it ends a process that uses more than its machine has, unread bytes of
its sockets included. Build first.

    test/soak/machine_memory.py --build build --seed 1 --load bodies
"""

import asyncio
import collections
import pathlib
import signal
import time
import types

from flooder import Flooder
from soak import REFUSALS, Soak, soak_parser, soak_seeds
from standins import Target, read_head

MEMORY_MB = 110
LARGE = 4_000_000
SMALL = 300
DEADLINE = 10.0
WORK = 0.4
SLOTS = 200
RESTART_DELAY = 0.5
CHECK_EVERY = 0.02
# When a host is suspended.
SUSPEND_AFTER = 3.0
TRACE_EVERY = 0.1
CALM = 3.0
BURST = 4.0
# Bytes a second that callers of large answers read.
READ_RATE = 2_000_000
# Callers of large requests at each host, and with those that come in the burst.
CALLERS = {
    "bodies": (18, 30),
    "chunks": (18, 30),
    "pauses": (18, 30),
    "answers": (80, 136),
    "endless": (18, 30),
    "flood": (40, 68),
}
SMALL_CALLERS = 3
# What a faulty target sends without end: in place of an answer, or within one.
ENDLESS = ("head", "line", "interim", "event", "body", "extension", "trailer", "length", "slow_body", "slow_length")
# Seconds between the pieces.
PAUSES = {"endless": 0.001, "flood": 0.002}
SLOW_PAUSE = 0.1
# The bounds of a flood: what a host may use, and how much of the small requests must be served.
FLOOD_PEAK_MB = 100
FLOOD_SMALL_SHARE = 0.97
# After this time a faulty target may get half of an even share of the calls at most.
FLOOD_LEARNING = 2.0
PIECE = b"x" * 65536
NO_MEMORY = b"no memory"
FIELDS = (b"X-More: " + b"y" * 1000 + b"\r\n") * 64


def unread_bytes(ip):
    """Returns what waits unread in the sockets of this address."""
    address = "".join(f"{int(part):02X}" for part in reversed(ip.split(".")))
    total = 0
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        # The queue of a listening socket counts connections.
        if fields[1].startswith(address) and fields[3] != "0A":
            total += int(fields[4].split(":")[1], 16)
    return total


def resident_bytes(process):
    try:
        lines = pathlib.Path(f"/proc/{process.pid}/status").read_text().splitlines()
    except OSError:
        return 0
    line = next((line for line in lines if line.startswith("VmRSS:")), "VmRSS: 0")
    return int(line.split()[1]) * 1024


class Pace:
    """Holds a reader to a rate in bytes a second, None for none."""

    def __init__(self, rate):
        self.rate = rate
        self.begun = time.monotonic()
        self.taken = 0

    async def take(self, count):
        self.taken += count
        ahead = self.begun + self.taken / self.rate - time.monotonic() if self.rate is not None else 0
        # One that lags takes all that has come before others have their turn.
        if ahead > 0:
            await asyncio.sleep(ahead)


class LargeTarget(Target):
    """Takes and sends large bodies. One that is faulty answers without end."""

    faulty = None
    pause = PAUSES["endless"]
    # Sends what has no end from another process, None for this one.
    flooder = None

    async def start(self, address):
        server = await asyncio.start_server(self.serve, address, 0)
        self.server = server
        self.proxy = types.SimpleNamespace(address=server.sockets[0].getsockname()[:2], mode="pass", near={})

    def announcement(self):
        return super().announcement() | {"slots": SLOTS}

    async def answer(self, path, fields, body, host, writer):
        if fields.get("x-request-id", "").startswith(("large-", "small-", "answer-", "endless-")):
            await self.answer_call(fields, writer)
            return
        await super().answer(path, fields, body, host, writer)

    async def answer_call(self, fields, writer):
        request = fields["x-request-id"]
        self.ledger[request] = self.ledger.get(request, 0) + 1
        self.calls.append((time.monotonic(), request))
        kind = request.split("-")[0]
        head = f"X-Request-Id: {request}\r\nX-Response-Stamp: {self.id}\r\n"
        if kind != "small":
            await asyncio.sleep(WORK if kind == "large" else 0)
        if kind == "endless" and self.faulty:
            await self.answer_without_end(head, writer)
            return
        content = b"a" * (LARGE if kind == "answer" else SMALL)
        writer.write(f"HTTP/1.1 200 OK\r\n{head}Content-Length: {len(content)}\r\n\r\n".encode() + content)

    async def answer_without_end(self, head, writer):
        chunked = f"HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n"
        begin, piece = {
            "head": (f"HTTP/1.1 200 OK\r\n{head}", FIELDS),
            "line": (f"HTTP/1.1 200 OK\r\n{head}X-More: ", PIECE),
            "interim": ("", b"HTTP/1.1 102 Processing\r\n\r\n"),
            "event": (f"{chunked}Content-Type: text/event-stream\r\n\r\n", b"10000\r\n" + PIECE + b"\r\n"),
            "body": (f"{chunked}\r\n", b"10000\r\n" + PIECE + b"\r\n"),
            "extension": (f"{chunked}\r\n5;", PIECE),
            "trailer": (f"{chunked}\r\n0\r\n", FIELDS),
            "length": (f"HTTP/1.1 200 OK\r\n{head}Content-Length: {1 << 29}\r\n\r\n", PIECE),
            "slow_body": (f"{chunked}\r\n", b"1\r\nx\r\n"),
            "slow_length": (f"HTTP/1.1 200 OK\r\n{head}Content-Length: {LARGE}\r\n\r\n", b"x"),
        }[self.faulty]
        pause = SLOW_PAUSE if self.faulty.startswith("slow") else self.pause
        writer.write(begin.encode())
        if self.flooder is not None:
            await writer.drain()
            self.flooder.take(writer.get_extra_info("socket"), pause, piece)
            raise ConnectionResetError
        while not writer.is_closing():
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(pause)
        raise ConnectionResetError


class MachineMemory(Soak):
    target_class = LargeTarget

    def __init__(self, options, seed):
        super().__init__(options, seed)
        self.load = options.load
        for host in self.entries:
            host.memory_mb = MEMORY_MB
        for target in self.targets:
            target.calls = []
            target.pause = PAUSES.get(self.load, target.pause)
        if self.load in PAUSES:
            faulty = options.endless or self.random.choice(ENDLESS)
            for target in self.targets[: options.faulty]:
                target.faulty = faulty
                target.flooder = Flooder() if self.load == "flood" else None
        self.peak = collections.Counter()
        self.done = False
        self.times = []

    def document(self):
        # Nothing may be refused for another reason than memory.
        return super().document().replace('"timeout-ms": 4', '"timeout-ms": 14')

    async def hold_to_memory(self, host):
        while not self.done:
            used = resident_bytes(host.child) + unread_bytes(host.ip)
            self.peak[host.name] = max(self.peak[host.name], used)
            if used > MEMORY_MB * 1024 * 1024:
                self.find("killed_for_memory", f"{host.name} uses {used // 1024 // 1024} MB")
                host.child.kill()
                host.child.wait()
                await asyncio.sleep(RESTART_DELAY)
                host.first_start = False
                host.start()
            await asyncio.sleep(CHECK_EVERY)

    async def trace(self, host, begun):
        """Writes the memory of the process and what waits unread in its sockets."""
        with open(self.options.trace, "a", encoding="utf-8") as output:
            while not self.done:
                used = resident_bytes(host.child)
                unread = unread_bytes(host.ip)
                output.write(f"{time.monotonic() - begun:.2f} {host.name} resident={used} unread={unread}\n")
                await asyncio.sleep(TRACE_EVERY)

    async def large_caller(self, host, name, until, delay):
        await asyncio.sleep(delay)
        kind = {"answers": "answer", "endless": "endless", "flood": "endless"}.get(self.load, "large")
        number = 0
        while time.monotonic() < until:
            number += 1
            await self.ask_once(host, "jobs", f"{kind}-{name}-{number}", kind)
            await asyncio.sleep(0.02)

    async def small_caller(self, host, name, until):
        route = "status" if self.load == "flood" else "jobs"
        number = 0
        while time.monotonic() < until:
            number += 1
            await self.ask_once(host, route, f"small-{name}-{number}", "small")
            await asyncio.sleep(0.05)

    async def send_body(self, writer, kind):
        if kind == "small" or self.load in ("answers", "endless", "flood"):
            writer.write(f"Content-Length: {SMALL}\r\n\r\n".encode() + b"s" * SMALL)
            return
        if self.load == "chunks":
            writer.write(b"Transfer-Encoding: chunked\r\n\r\n")
            for _ in range(LARGE // len(PIECE)):
                writer.write(b"%x\r\n" % len(PIECE) + PIECE + b"\r\n")
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            return
        writer.write(f"Content-Length: {LARGE}\r\n\r\n".encode() + b"b" * (LARGE - 1))
        if self.load == "pauses":
            await writer.drain()
            await asyncio.sleep(1.5)
        writer.write(b"b")

    async def read_body(self, reader, length, pace):
        """Reads a body and returns how it begins."""
        left = length
        begin = b""
        while left:
            data = await reader.read(min(left, 65536))
            if not data:
                raise EOFError
            begin = begin or data
            left -= len(data)
            await pace.take(len(data))
        return begin

    async def read_chunks(self, reader, pace):
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            await self.read_body(reader, size, pace)
            await reader.readexactly(2)
        await reader.readexactly(2)

    async def ask_once(self, host, route, request, kind):
        if route == "jobs":
            self.once.add(request)
        writer = None
        begun = time.monotonic()
        try:
            async with asyncio.timeout(DEADLINE + 3):
                reader, writer = await asyncio.open_connection(host.ip, self.port + 1)
                writer.write(
                    f"POST /{route}/7 HTTP/1.1\r\nHost: h\r\nX-Request-Id: {request}\r\nX-Credential: key\r\n"
                    f"X-Deadline-Ms: {int(DEADLINE * 1000)}\r\n".encode()
                )
                sending = asyncio.create_task(self.send_body(writer, kind))
                try:
                    first, fields = await read_head(reader)
                    pace = Pace(READ_RATE if kind == "answer" else None)
                    content = b""
                    if "content-length" in fields:
                        content = await self.read_body(reader, int(fields["content-length"]), pace)
                    else:
                        await self.read_chunks(reader, pace)
                finally:
                    sending.cancel()
        except (OSError, EOFError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.counts[f"{kind}_without_answer"] += 1
            self.find("request_lost", f"{request} {type(error).__name__} {time.monotonic() - begun:.2f} s")
            return
        finally:
            if writer is not None:
                writer.close()
        status = int(first.split()[1])
        self.counts[f"{kind}_{status}"] += 1
        self.take_status(request, kind, status, content, time.monotonic() - begun)

    def take_status(self, request, kind, status, content, lasted):
        if status in REFUSALS:
            self.refused.add(request)
            # The stand-ins of targets are one process: if it stands still, hosts refuse for want of targets.
            if kind == "small" and NO_MEMORY in content:
                self.find("small_request_refused", f"{request} {status}")
        slow = self.load == "flood" and self.targets[0].faulty.startswith("slow")
        if kind == "endless" and not slow and lasted > DEADLINE / 2:
            self.find("endless_answer_until_deadline", f"{request} {status} after {lasted:.2f} s")

    async def suspend(self, host, lasts):
        await asyncio.sleep(SUSPEND_AFTER)
        host.signal(signal.SIGSTOP)
        await asyncio.sleep(lasts)
        host.signal(signal.SIGCONT)

    async def run(self):
        await self.start()
        self.ending = True
        await self.operating
        watching = [asyncio.create_task(self.hold_to_memory(host)) for host in self.entries]
        steady, most = CALLERS[self.load]
        # The callers of a flood come at once.
        apart, spread = (0, 0) if self.load == "flood" else (0.05, 0.6)
        begun = time.monotonic()
        end = begun + 2 * CALM + BURST
        if self.options.trace:
            watching += [asyncio.create_task(self.trace(host, begun)) for host in self.entries]
        work = [self.suspend(self.entries[0], self.options.suspend)] if self.options.suspend else []
        for host in self.entries:
            work += [self.large_caller(host, f"{host.name}.s{number}", end, apart * number) for number in range(steady)]
            work += [self.small_caller(host, f"{host.name}.{number}", end) for number in range(SMALL_CALLERS)]
            work += [
                self.large_caller(host, f"{host.name}.b{number}", begun + CALM + BURST, CALM + spread * number / (most - steady))
                for number in range(most - steady)
            ]
        await asyncio.gather(*work)
        self.done = True
        await asyncio.gather(*watching)
        print("  peaks in MB: " + ", ".join(f"{name} {peak / 1024 / 1024:.0f}" for name, peak in sorted(self.peak.items())))
        if self.load == "flood":
            self.check_flood(begun)
        for target in self.targets:
            if target.flooder is not None:
                target.flooder.stop()
        self.stop_announcing()
        self.count_runs()

    def check_flood(self, begun):
        for name, peak in self.peak.items():
            if peak > FLOOD_PEAK_MB * 1024 * 1024:
                self.find("peak_too_high", f"{name} {peak // 1024 // 1024} MB")
        small = [count for name, count in self.counts.items() if name.startswith("small_") and name != "small_request_refused"]
        served = self.counts["small_200"] / max(sum(small), 1)
        print(f"  small requests served: {served:.3f} of {sum(small)}")
        if served < FLOOD_SMALL_SHARE:
            self.find("small_requests_not_served", f"{served:.3f}")
        sent = [
            sum(1 for at, request in target.calls if at > begun + FLOOD_LEARNING and request.startswith("endless-"))
            for target in self.targets[:3]
        ]
        print(f"  calls to each target after {FLOOD_LEARNING:.0f} s: {sent}")
        if self.options.faulty == 1 and sent[0] > sum(sent) / 3 / 2:
            self.find("endless_target_still_asked", f"{sent[0]} of {sum(sent)}")


def main():
    parser = soak_parser(__doc__)
    parser.add_argument("--load", choices=CALLERS, default="bodies", help="what the large requests are")
    parser.add_argument("--endless", choices=ENDLESS, help="what a target sends without end")
    parser.add_argument("--faulty", type=int, default=1, help="how many targets do")
    parser.add_argument("--suspend", type=float, help="suspends one entry host for this many seconds")
    parser.add_argument("--trace", help="file for the memory of each host over time")
    parser.set_defaults(entries=3)
    soak_seeds(parser.parse_args(), MachineMemory)


if __name__ == "__main__":
    main()
