#!/usr/bin/env python3
"""Guards against a control group without a leader after hundreds of changes of the configuration.

Operators change the configuration in rounds, several changes at once. Each round ends with a control host that loses
its disk right after an acknowledgement, in turn another one; from the second round on all other processes are killed
at the same moment. The next disk is lost only after the time that the deployment allows a host to catch up, and after
everything is back the newest acknowledged configuration is read back. Build first.

    test/soak/lost_disks.py --build build --seed 1 --changes 400 --routes 60
"""

import asyncio
import shutil
import signal

from soak import Soak, soak_parser, soak_seeds
from standins import call

# What the users allow: a host that lost its disk to catch up, and the service to recover after all were lost.
CATCH_UP = 4.0
RECOVER = 12.0
# A change that gets no answer is sent again, to another host.
ANSWER_LIMIT = 3.0
ROUNDS = 3


class LostDisks(Soak):
    def __init__(self, options, seed):
        super().__init__(options, seed)
        self.down = self.random.uniform(0.5, 1.5)

    def document(self, version):
        routes = [self.route("status", "idempotent", "app", False)]
        routes += [self.route(name, "idempotent", "app", False) for name in self.other_routes[: self.options.routes]]
        self.version = max(self.version, version)
        return self.encode(version, routes)

    async def change(self, version):
        """Sends one change until it is acknowledged or the faults of the round begin."""
        document = self.document(version)
        while not self.striking:
            host = self.random.choice(self.controls)
            status, _ = await call((host.ip, self.port), "PUT", "/-/config", document, ANSWER_LIMIT)
            if status == 200:
                self.acknowledged = max(self.acknowledged, version)
                self.counts["changes"] += 1
                return
            await asyncio.sleep(0.1)

    async def change_often(self, count):
        """Several operators, each with one change at a time."""
        versions = iter(range(self.version + 1, self.version + 1 + count))

        async def operator():
            for version in versions:
                await self.change(version)

        await asyncio.gather(*(operator() for _ in range(self.options.operators)))

    async def strike(self, victim, all_killed):
        self.striking = True
        hosts = self.controls if all_killed else [victim]
        for host in hosts:
            host.signal(signal.SIGKILL)
        await asyncio.gather(*(host.ended() for host in hosts))
        shutil.rmtree(victim.folder / "data")
        await asyncio.sleep(self.down)
        for host in hosts:
            host.first_start = False
            host.start()
        self.striking = False

    async def await_read_back(self, limit, after):
        """Asks all hosts until one answers the newest acknowledged configuration."""
        due = self.acknowledged
        loop = asyncio.get_running_loop()
        begun = loop.time()
        while loop.time() < begun + limit:
            for host in self.controls:
                version = await self.read_back(host)
                if version is not None and version >= due:
                    self.counts["recovered_ms"] = max(
                        self.counts["recovered_ms"], int((loop.time() - begun) * 1000)
                    )
                    return True
            await asyncio.sleep(0.05)
        self.find("configuration_not_read_back", f"version {due} within {limit} s after {after}")
        return False

    async def run(self):
        self.striking = False
        for host in self.controls:
            host.start()
        await self.change(1)
        order = self.random.sample(self.controls, len(self.controls))
        for number in range(ROUNDS):
            await self.change_often(self.options.changes)
            victim = order[number % len(order)]
            all_killed = number > 0
            await self.strike(victim, all_killed)
            what = f"the disk of {victim.name} was lost" + (", all processes killed" if all_killed else "")
            if not await self.await_read_back(RECOVER, what):
                return
            if number + 1 < ROUNDS:
                await asyncio.sleep(RECOVER if all_killed else CATCH_UP)


def main():
    parser = soak_parser(__doc__)
    parser.add_argument("--changes", type=int, default=300, help="changes in each round")
    parser.add_argument("--routes", type=int, default=60, help="routes of the configuration, 3000 at most")
    parser.add_argument("--operators", type=int, default=4, help="changes on their way at once")
    soak_seeds(parser.parse_args(), LostDisks)


if __name__ == "__main__":
    main()
