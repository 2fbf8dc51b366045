#!/usr/bin/env python3
"""Guards against calls to an evacuated zone, and against too many to its targets once they are back and cold.

Operators evacuate one zone and give it back, three times, the second time with all hosts killed in between; entry
and control hosts are killed meanwhile. From two seconds after the acknowledgement on nothing may reach a target of
the zone; its targets are cold when it is given back, and bear a few requests a second. Build first.

    test/soak/evacuated_zone.py --build build --seed 1
"""

import argparse
import asyncio
import json
import signal
import sys

from soak import ZONES, Soak, soak_one
from standins import call

COLD_RATE = 16.0
COLD_FOR = 3.0
# What the users allow a cold target in a second.
MOST_WHILE_COLD = 1.5 * COLD_RATE + 5
# From an acknowledgement until all hosts must obey, in seconds.
OBEYED_WITHIN = 2.0
EVACUATED_FOR = 6.0


class EvacuatedZone(Soak):
    def document(self):
        document = json.loads(super().document())
        for service in document["services"]:
            service |= {"cold-start-s": COLD_FOR, "cold-per-s": COLD_RATE}
        return json.dumps(document)

    async def order(self, method, zone):
        """Sends an order to control hosts until one acknowledges it."""
        while True:
            host = self.random.choice(self.controls)
            status, _ = await call((host.ip, self.port), method, f"/-/evacuate/{zone}", "", 3)
            if status == 200:
                return asyncio.get_running_loop().time()
            self.counts[f"order_status_{status}"] += 1
            await asyncio.sleep(0.1)

    def arrivals(self, zone, since, until):
        arrivals = (arrival for target in self.targets if target.zone == zone for arrival in target.arrivals)
        return sum(since <= arrival < until for arrival in arrivals)

    def most_in_a_second(self, target, since):
        arrivals = [arrival for arrival in target.arrivals if since <= arrival < since + COLD_FOR]
        return max((sum(start <= arrival < start + 1 for arrival in arrivals) for start in arrivals), default=0)

    async def kill(self, hosts):
        for host in hosts:
            host.faults += 1
            host.signal(signal.SIGKILL)
        await asyncio.gather(*(host.restart() for host in hosts))
        for host in hosts:
            host.faults -= 1

    async def evacuate_once(self, zone, killed):
        acknowledged = await self.order("POST", zone)
        kills = asyncio.create_task(self.kill(killed))
        await asyncio.sleep(EVACUATED_FOR)
        await kills
        for target in self.targets:
            if target.zone == zone:
                target.cold_until = asyncio.get_running_loop().time() + COLD_FOR
        asked = asyncio.get_running_loop().time()
        late = self.arrivals(zone, acknowledged + OBEYED_WITHIN, asked)
        self.counts["reached_evacuated"] += late
        if late > 0:
            self.find("sent_to_evacuated_zone", f"{late} to {zone}")
        await self.order("DELETE", zone)
        await asyncio.sleep(COLD_FOR)
        for target in self.targets:
            if target.zone == zone:
                most = self.most_in_a_second(target, asked)
                self.counts["most_while_cold"] = max(self.counts["most_while_cold"], most)
                if most > MOST_WHILE_COLD:
                    self.find("more_than_a_cold_target_bears", f"{most} in a second")
        given_back = asyncio.get_running_loop().time()

        async def is_used():
            return self.arrivals(zone, given_back, given_back + 100) > 20

        if not await self.within(is_used):
            self.find("zone_left_alone", zone)

    async def run(self):
        await self.start()
        work = [asyncio.create_task(self.caller(f"c{number}")) for number in range(8)]
        zone = self.random.choice(ZONES)
        one_each = [self.random.choice(self.entries), self.random.choice(self.controls)]
        for killed in (one_each, self.entries + self.controls, one_each[:1]):
            await self.evacuate_once(zone, killed)
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
    sys.exit(0 if soak_one(options, options.seed, EvacuatedZone) else 1)


if __name__ == "__main__":
    main()
