#!/usr/bin/env python3
"""Guards against a request that crashes each target that runs it being sent to target after target.

A caller repeats such a request at changing entry hosts, beside ordinary callers. Once it has crashed three
targets and hosts have had the time to hear of it, no more than three repeats may reach a target, also after
all hosts were killed at once. Build first.

    test/soak/crashing_request.py --build build --seed 1
"""

import argparse
import asyncio
import json
import signal
import sys

from soak import Soak, soak_one
from standins import ENDS, call, read_head

CRASHES = 3
# From the third crash until all hosts must know of it, in seconds.
NOTICE = 3.0
# Nothing proves the end of a target that answers nothing before it counts as silent.
SILENCE = 9.0
MOST_REPEATS = 3
REPEAT_PAUSE = 0.25
REPEATS_AFTER = 16
BYSTANDERS = 6


class CrashingRequest(Soak):
    body = b"crash-1"

    async def repeat(self):
        """Sends the request once more. Returns its status, 0 without an answer."""
        host = self.random.choice(self.entries)
        self.repeats = getattr(self, "repeats", 0) + 1
        writer = None
        try:
            async with asyncio.timeout(5):
                reader, writer = await asyncio.open_connection(host.ip, self.port + 1)
                writer.write(
                    f"POST /streams/7 HTTP/1.1\r\nHost: h\r\nX-Request-Id: again-{self.repeats}\r\n"
                    f"X-Credential: key\r\nX-Deadline-Ms: 3000\r\nContent-Length: {len(self.body)}\r\n\r\n".encode()
                    + self.body
                )
                first, _ = await read_head(reader)
                return int(first.split()[1])
        except (OSError, EOFError, TimeoutError):
            return 0
        finally:
            if writer is not None:
                writer.close()

    def crashes(self):
        return sorted(crash for target in self.targets for crash, _ in target.crashes)

    def arrivals_since(self, moment):
        arrivals = (arrival for target in self.targets for arrival, _ in target.crashing_arrivals)
        return sum(arrival > moment for arrival in arrivals)

    async def repeat_times(self, count):
        for _ in range(count):
            self.counts[f"repeat_status_{await self.repeat()}"] += 1
            await asyncio.sleep(REPEAT_PAUSE)

    async def disturb(self):
        for target in self.targets:
            target.end = self.options.end
            target.born = 1 if target.end == "restart" else None
        while len(self.crashes()) < CRASHES:
            await self.repeat_times(1)
        known_at = self.crashes()[CRASHES - 1] + NOTICE + (SILENCE if self.options.end == "dark" else 0)
        while asyncio.get_running_loop().time() < known_at:
            await self.repeat_times(1)
        await self.repeat_times(REPEATS_AFTER)
        hosts = self.controls + self.entries
        for host in hosts:
            host.faults += 1
            host.signal(signal.SIGKILL)
        await asyncio.gather(*(host.restart() for host in hosts))
        await self.recover()
        await self.repeat_times(REPEATS_AFTER)
        reached = self.arrivals_since(known_at)
        self.counts["crashes"] = len(self.crashes())
        self.counts["reached_after_notice"] = reached
        if reached > MOST_REPEATS:
            self.find("sent_again_after_three_crashes", f"{reached} repeats reached a target")
        await self.release()

    async def listed(self):
        host = self.random.choice(self.controls)
        status, body = await call((host.ip, self.port), "GET", "/-/refused-requests", "", 3)
        return [entry["fingerprint"] for entry in json.loads(body)["refused"]] if status == 200 else []

    async def release(self):
        """An operator lets the request through again, and it reaches a target."""
        for fingerprint in await self.listed():
            host = self.random.choice(self.controls)
            await call((host.ip, self.port), "DELETE", f"/-/refused-requests/{fingerprint}", "", 3)
        released_at = asyncio.get_running_loop().time()

        async def reaches():
            await self.repeat_times(1)
            return self.arrivals_since(released_at) > 0

        if not await self.within(reaches):
            self.find("not_released", "no repeat reached a target")

    async def run(self):
        await self.start()
        work = [asyncio.create_task(self.caller(f"c{number}")) for number in range(BYSTANDERS)]
        await self.disturb()
        self.ending = True
        await asyncio.gather(*work, self.operating)
        self.stop_announcing()
        self.count_runs()


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--build", default="build", help="folder with the binary")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--end", choices=ENDS, default="refuse", help="how a target ends under the request")
    options = parser.parse_args()
    options.seconds = 0
    sys.exit(0 if soak_one(options, options.seed, CrashingRequest) else 1)


if __name__ == "__main__":
    main()
