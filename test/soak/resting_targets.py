#!/usr/bin/env python3
"""Guards against requests to targets that asked for rest or said that they leave.

In each wave some targets reject all requests with 503 and Retry-After, then some say in their answers that they
leave, while they still announce themselves as ready. Entry hosts are killed, suspended, stopped and reloaded
meanwhile, and connections to the other targets break. Counts what each host sends to a target that has told this
host; a host that was killed, suspended or stopped since is left out. Build first.

    test/soak/resting_targets.py --build build --seed 1
"""

import asyncio
import collections

from soak import Soak, soak_parser, soak_seeds

WAVES = 3
# Requests that are under way when the target answers may still arrive, and two more.
IN_FLIGHT = 0.5
MOST_IN_REST = 2
# From the first answer that says so until nothing may arrive any more.
DRAIN = 2.0
LEAVING_FOR = 4.0
# With more requests of unknown hosts a run says too little.
MOST_UNKNOWN_SHARE = 0.05


class RestingTargets(Soak):
    def __init__(self, options, seed):
        super().__init__(options, seed)
        # A host that reaches no target hands calls to another one, so the sender of each request is looked up.
        for target in self.targets:
            target.host_at = self.host_at
        # Services of which some targets rest and others do not.
        self.beside_rest = set()
        # When hosts were killed, suspended or stopped, by name.
        self.disturbed = collections.defaultdict(list)

    async def take(self, kind, request, status, fields, reader):
        if ("lm" if kind == "streams" else "app") in self.beside_rest:
            self.counts["beside_rest_calls"] += 1
            self.counts["beside_rest_served"] += status == 200
        await super().take(kind, request, status, fields, reader)

    def now(self):
        return asyncio.get_running_loop().time()

    def was_disturbed(self, host, begin, end):
        return any(first <= end and begin <= last for first, last in self.disturbed[host])

    async def disturb_hosts(self, until):
        while self.now() < until:
            host = self.random.choice(self.entries)
            fault = self.random.choice((self.kill, self.pause, self.stop, self.reload))
            begin = self.now()
            self.counts[fault.__name__] += 1
            host.faults += fault != self.stop
            if fault != self.reload:
                # Ends after the fault; until then the host counts as disturbed.
                self.disturbed[host.name].append((begin, begin + 60))
            await fault(host)
            host.faults -= fault != self.stop
            if fault != self.reload:
                self.disturbed[host.name][-1] = (begin, self.now())
            await asyncio.sleep(self.random.uniform(0.2, 1.5))

    async def break_others(self, resting, until):
        others = [target for target in self.targets if target not in resting]
        while others and self.now() < until:
            target = self.random.choice(others)
            target.proxy.set_mode(self.random.choice(("delay", "reset")))
            await asyncio.sleep(self.random.uniform(0.3, 1))
            target.proxy.set_mode("pass")
            await asyncio.sleep(self.random.uniform(0.1, 0.5))

    async def beside_faults(self, chosen, lasts):
        until = self.now() + lasts
        faults = [asyncio.create_task(self.disturb_hosts(until)), asyncio.create_task(self.break_others(chosen, until))]
        while self.now() < until:
            await asyncio.sleep(0.1)
            yield
        await asyncio.gather(*faults)

    def choose_targets(self):
        """Returns some targets, at times all of a service."""
        service = self.random.choice(("app", "lm"))
        all_of_it = [target for target in self.targets if target.service == service]
        return self.random.choice((all_of_it, all_of_it[:1], all_of_it[:2], self.targets[1:5]))

    async def rest_wave(self):
        chosen = self.choose_targets()
        rests = self.random.choice(((3.0,), (1.0, 3.0), (0.5, 2.5, None)))
        resting = {target.service for target in chosen}
        self.beside_rest = resting & {target.service for target in self.targets if target not in chosen}
        async for _ in self.beside_faults(chosen, self.random.uniform(4, 7)):
            for target in chosen:
                target.rejecting = True
                target.rest = self.random.choice(rests)
        for target in chosen:
            target.rejecting = False
            target.rest = None
        self.beside_rest = set()
        ended_at = self.now()
        for target in chosen:
            if not await self.within(lambda: self.gets_requests(target, ended_at)):
                self.find("rested_target_left_alone", target.id)

    async def gets_requests(self, target, since):
        return any(arrival.time > since for arrival in target.requests)

    async def leaving_wave(self):
        chosen = self.choose_targets()
        for target in chosen:
            target.leaving = True
        async for _ in self.beside_faults(chosen, LEAVING_FOR):
            pass
        for target in chosen:
            target.restart()

    def count_unknown_senders(self, target):
        """Only a host that was killed or stopped meanwhile may be unknown, so almost none are."""
        unknown = sum(arrival.host is None for arrival in target.requests)
        self.counts["unknown_senders"] += unknown
        if unknown > MOST_UNKNOWN_SHARE * len(target.requests) + 1:
            self.find("senders_unknown", f"{target.id} {unknown} of {len(target.requests)}")

    def count_sent_to_resting(self, target):
        for told in target.rejections:
            host = told.host
            begin, end = told.time + IN_FLIGHT, told.time + told.rest
            if host is None or self.was_disturbed(host, told.time, end):
                continue
            sent = [
                arrival
                for arrival in target.requests
                if begin < arrival.time < end and arrival.id == told.id and arrival.host == host
            ]
            self.counts["most_in_rest"] = max(self.counts["most_in_rest"], len(sent))
            if len(sent) > MOST_IN_REST:
                self.find("sent_to_resting_target", f"{host} {told.id} {len(sent)} in {told.rest} s")

    def count_sent_to_leaving(self, target):
        told_at = {}
        for told in target.leaving_answers:
            told_at.setdefault((told.id, told.host), told.time)
        for arrival in target.requests:
            host = arrival.host
            if host is None:
                continue
            first = told_at.get((arrival.id, host))
            if first is None or arrival.time <= first + DRAIN or self.was_disturbed(host, first, arrival.time):
                continue
            self.find("sent_to_leaving_target", f"{host} {arrival.id} {arrival.time - first:.1f} s later")

    async def run(self):
        await self.start()
        work = [asyncio.create_task(self.caller(f"c{number}")) for number in range(8)]
        await asyncio.sleep(1)
        for _ in range(WAVES):
            if self.options.waves in ("rest", "both"):
                await self.rest_wave()
            if self.options.waves in ("leaving", "both"):
                await self.leaving_wave()
        self.ending = True
        await asyncio.gather(*work, self.operating)
        await self.recover()
        self.stop_announcing()
        self.count_runs()
        for target in self.targets:
            self.counts["rejections"] += len(target.rejections)
            self.counts["leaving_answers"] += len(target.leaving_answers)
            self.count_unknown_senders(target)
            self.count_sent_to_resting(target)
            self.count_sent_to_leaving(target)


def main():
    parser = soak_parser(__doc__)
    parser.add_argument("--waves", choices=("rest", "leaving", "both"), default="both")
    soak_seeds(parser.parse_args(), RestingTargets)


if __name__ == "__main__":
    main()
