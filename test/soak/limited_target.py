#!/usr/bin/env python3
"""Guards against hosts that together send a target more than it names as its limit.

One target names a limit in its answers. Once hosts have had the time to hear of it, what all of them send it in
any four seconds is counted; entry and control hosts are killed meanwhile, one at a time. Then the target names no
limit any more and must get more again. Build first.

    test/soak/limited_target.py --build build --seed 1
"""

import argparse
import asyncio
import collections
import signal
import sys

from soak import Soak, soak_one

LIMIT = 3.0
# From the first answer with the limit until all hosts must keep to it, in seconds.
NOTICE = 3.0
WINDOW = 4.0
# What the users allow in a window beyond the limit.
MOST_IN_WINDOW = 1.5 * LIMIT * WINDOW + 5
LEAST_SHARE = 0.3
LIMITED_FOR = 16.0
LIFTED_WITHIN = 20.0


class LimitedTarget(Soak):
    def __init__(self, options, seed):
        super().__init__(options, seed)
        for target in self.targets:
            target.host_at = self.host_at
        # When each host was asked, by name: a host that nobody asks sends nothing of its share.
        self.asked = collections.defaultdict(list)

    async def ask(self, host, channel, kind, request):
        self.asked[host.name].append(asyncio.get_running_loop().time())
        return await super().ask(host, channel, kind, request)

    def senders(self, target, since):
        """Returns how many requests each host sent the target and how many calls it got."""
        sent = collections.Counter(arrival.host for arrival in target.requests if arrival.time >= since)
        asked = {name: sum(time >= since for time in times) for name, times in self.asked.items()}
        parts = [f"{host.name} {sent[host.name]} of {asked.get(host.name, 0)}" for host in self.entries]
        return ", ".join(parts + [f"unknown {sent[None]}"])

    def most_in_window(self, arrivals):
        return max(
            (sum(start <= arrival < start + WINDOW for arrival in arrivals) for start in arrivals), default=0
        )

    async def kill_in_turn(self):
        for hosts in (self.entries, self.controls):
            host = self.random.choice(hosts)
            host.faults += 1
            host.signal(signal.SIGKILL)
            await host.restart()
            await asyncio.sleep(LIMITED_FOR / 4)
            host.faults -= 1

    async def disturb(self):
        target = self.random.choice(self.targets)
        target.limit = LIMIT
        await asyncio.sleep(NOTICE)
        limited_from = asyncio.get_running_loop().time()
        kills = asyncio.create_task(self.kill_in_turn())
        await asyncio.sleep(LIMITED_FOR)
        await kills
        arrivals = [arrival for arrival in target.arrivals if arrival >= limited_from]
        senders = self.senders(target, limited_from)
        most = self.most_in_window(arrivals)
        self.counts["most_in_window"] = most
        self.counts["while_limited"] = len(arrivals)
        print(f"  sent by: {senders}")
        if most > MOST_IN_WINDOW:
            self.find("more_than_its_limit", f"{most} in {WINDOW} s, {MOST_IN_WINDOW} allowed")
        if len(arrivals) < LEAST_SHARE * LIMIT * LIMITED_FOR:
            self.find("limited_target_left_alone", f"{len(arrivals)} in {LIMITED_FOR} s")
        target.limit = None
        lifted_at = asyncio.get_running_loop().time()
        if not await self.within(lambda: self.has_much(target, lifted_at)):
            self.find("limit_not_lifted", f"for {LIFTED_WITHIN} s")

    async def has_much(self, target, since):
        now = asyncio.get_running_loop().time()
        recent = sum(arrival > max(since, now - WINDOW) for arrival in target.arrivals)
        return recent > 2 * MOST_IN_WINDOW

    async def run(self):
        await self.start()
        work = [asyncio.create_task(self.caller(f"c{number}")) for number in range(8)]
        await asyncio.sleep(1)
        await self.disturb()
        self.ending = True
        await asyncio.gather(*work, self.operating)
        self.stop_announcing()
        self.count_runs()


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--build", default="build", help="folder with the binary")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    options.seconds = 0
    sys.exit(0 if soak_one(options, options.seed, LimitedTarget) else 1)


if __name__ == "__main__":
    main()
