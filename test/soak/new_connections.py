#!/usr/bin/env python3
"""Guards against new connections that end with neither an answer nor a refusal.

Many callers at once open a connection of their own to one entry host and send a request each, again and again, as after
the loss of other hosts. The host may refuse what it can't serve, but none of the connections may end without a word.
Prints what became of them, how long refusals took and how much processor time the host used. Build first.

    test/soak/new_connections.py --build build --seed 1
"""

import asyncio
import os
import pathlib
import statistics

from soak import REFUSALS, Soak, soak_parser, soak_seeds
from standins import read_head

BURST = 300
EVERY = 0.5
FOR = 20.0
DEADLINE = 6.0
TICKS = os.sysconf("SC_CLK_TCK")
# Retry-After that refused callers may be given, in seconds.
SHORTEST_RETRY = 0.25
LONGEST_RETRY = 2.0


def processor_seconds(process):
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


class NewConnections(Soak):
    def __init__(self, options, seed):
        super().__init__(options, seed)
        self.refusal_times = []
        self.retries = []

    async def ask_anew(self, request):
        """Sends one request on a connection of its own."""
        loop = asyncio.get_running_loop()
        begun = loop.time()
        writer = None
        try:
            async with asyncio.timeout(DEADLINE + 1):
                reader, writer = await asyncio.open_connection(self.entries[0].ip, self.port + 1)
                writer.write(
                    f"POST /status/7 HTTP/1.1\r\nHost: h\r\nX-Request-Id: {request}\r\nX-Credential: key\r\n"
                    f"X-Deadline-Ms: {int(DEADLINE * 1000)}\r\nContent-Length: 100\r\n\r\n{'x' * 100}".encode()
                )
                first, fields = await read_head(reader)
                status = int(first.split()[1])
                await reader.readexactly(int(fields["content-length"]))
        except (OSError, EOFError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.counts["without_a_word"] += 1
            self.find("request_lost", f"{request}: {type(error).__name__} after {loop.time() - begun:.3f} s")
            return
        finally:
            if writer is not None:
                writer.close()
        self.counts[f"status_{status}"] += 1
        if status in REFUSALS:
            self.take_refusal(request, fields, loop.time() - begun)

    def take_refusal(self, request, fields, lasted):
        self.refusal_times.append(lasted)
        self.refused.add(request)
        if "retry-after" in fields:
            self.retries.append(float(fields["retry-after"]))

    def describe(self):
        if self.refusal_times:
            print(f"  refused within {statistics.median(self.refusal_times):.3f} s, at most {max(self.refusal_times):.3f} s")
        if self.retries:
            print(f"  retry after {min(self.retries):.3f} to {max(self.retries):.3f} s")

    async def run(self):
        await self.start()
        self.ending = True
        await self.operating
        host = self.entries[0].child
        before = processor_seconds(host)
        loop = asyncio.get_running_loop()
        begun = loop.time()
        asked = []
        for burst in range(int(FOR / EVERY)):
            await asyncio.sleep(max(0, begun + burst * EVERY - loop.time()))
            asked += [asyncio.create_task(self.ask_anew(f"n{burst}-{number}")) for number in range(self.options.burst)]
        await asyncio.gather(*asked)
        used = processor_seconds(host) - before
        print(f"  processor time of the host {used:.2f} s for {len(asked)} requests in {loop.time() - begun:.1f} s")
        self.describe()
        if any(not SHORTEST_RETRY <= retry <= LONGEST_RETRY for retry in self.retries):
            self.find("refusal_lost", "its Retry-After is out of bounds")
        self.stop_announcing()
        self.count_runs()


def main():
    parser = soak_parser(__doc__)
    parser.add_argument("--burst", type=int, default=BURST, help="new connections each half second")
    parser.set_defaults(entries=1)
    soak_seeds(parser.parse_args(), NewConnections)


if __name__ == "__main__":
    main()
