#!/usr/bin/env python3
"""Guards against entry hosts that serve nobody because they reach no target, while other entry hosts do.

In each wave some entry hosts are cut off from all targets, in one of three ways: connections are reset and new ones too;
nothing is answered, on open connections and on new ones; open connections go on and new ones are reset. Callers, control
hosts and the other entry hosts reach them as before. Counts the first attempts that are served at hosts that are cut off
and at the others, from three seconds after the beginning. Build first.

    test/soak/isolated_hosts.py --build build --seed 1
"""

import asyncio
import collections
import random
import signal

from soak import DEADLINE, Soak, soak_parser, soak_seeds
from standins import FaultProxy

CUT_WAYS = ("reset", "silent", "new_reset")
CUT_FOR = 9.0
# From the beginning of a cut until hosts must have found another way, in seconds.
REACTION = 3.0
# What the users allow: two thirds of the share that the others serve, or 10 + 1 in 50 of all attempts may fail.
LEAST_RATIO = 2 / 3
MOST_FAILED = 10
MOST_FAILED_SHARE = 1 / 50
# Between two calls of those that are counted, in seconds.
CALL_INTERVAL = 0.012
# With fewer counted calls at the hosts that are cut off a wave says nothing.
LEAST_ASKED = 15


class CuttingProxy(FaultProxy):
    """Also cuts off single hosts. It finds out which host has connected before it passes any byte on."""

    def __init__(self, proxy, run):
        super().__init__(proxy.target)
        self.run = run
        # The host's name by the writer of its connection.
        self.host_of = {}

    def is_cut_off(self, host):
        return host is not None and host in self.run.cut_off

    async def serve(self, reader, writer):
        host = self.run.host_at(writer) if self.run.cut_off else None
        self.host_of[writer] = host
        try:
            if self.is_cut_off(host) and self.run.cut_way in ("reset", "new_reset"):
                writer.transport.abort()
                return
            await super().serve(reader, writer)
        finally:
            del self.host_of[writer]

    def cut(self):
        """Begins a cut: finds out whose the open connections are, and resets them if that is its way."""
        for writer in self.host_of:
            self.host_of[writer] = self.run.host_at(writer)
        if self.run.cut_way == "reset":
            for writer, host in list(self.host_of.items()):
                if self.is_cut_off(host):
                    writer.transport.abort()

    def drops(self, near, towards):
        silenced = self.run.cut_way == "silent" and self.is_cut_off(self.host_of.get(near))
        return silenced or super().drops(near, towards)


class IsolatedHosts(Soak):
    def __init__(self, options, seed):
        super().__init__(options, seed)
        # Names of the hosts that are cut off from all targets, how, and since when.
        self.cut_off = frozenset()
        self.cut_way = None
        self.counting = False
        # Draws of its own, so that a seed cuts off the same hosts however fast the machine is.
        self.cuts = random.Random(-2 * seed)
        self.first = collections.Counter()
        self.served = set()

    async def call_once(self, number):
        """Makes one call on a new connection, whether earlier ones have ended or not."""
        host = self.random.choice(self.entries)
        kind = self.random.choice(("jobs", "status", "streams"))
        request = f"f-{number}"
        counted = self.counting
        where = "cut_off" if host.name in self.cut_off else "others"
        if kind == "jobs":
            self.once.add(request)
        channel = await self.ask(host, None, kind, request)
        if channel is not None:
            channel[1].close()
        if counted:
            self.first[f"{where}_asked"] += 1
            self.first[f"{where}_served"] += request in self.served

    async def call_steadily(self):
        number = 0
        pending = set()
        while not self.ending:
            number += 1
            task = asyncio.create_task(self.call_once(number))
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(CALL_INTERVAL)
        await asyncio.gather(*pending)

    async def take(self, kind, request, status, fields, reader):
        await super().take(kind, request, status, fields, reader)
        if status == 200:
            self.served.add(request)

    async def start(self):
        for number, target in enumerate(self.targets):
            await target.start(f"127.{self.subnet}.3.{number + 1}")
            plain = target.proxy
            plain.stop()
            target.proxy = CuttingProxy(plain, self)
            target.proxy.server = await asyncio.start_server(target.proxy.serve, *plain.address)
            target.proxy.address = plain.address
        for host in self.controls + self.entries:
            host.start()
        self.announcing = [asyncio.create_task(target.announce()) for target in self.targets]
        self.operating = asyncio.create_task(self.operate())
        await self.recover()

    def choose_hosts(self):
        """Returns one host, those of a zone, or most of all."""
        names = [host.name for host in self.entries]
        zone = self.cuts.choice(self.entries).zone
        in_zone = [host.name for host in self.entries if host.zone == zone]
        most = self.cuts.sample(names, max(1, len(names) * 3 // 5))
        return frozenset(self.cuts.choice(([self.cuts.choice(names)], in_zone, most)))

    async def wave(self, way):
        self.first.clear()
        self.cut_way = way
        self.cut_off = self.choose_hosts()
        for target in self.targets:
            target.proxy.cut()
        await asyncio.sleep(REACTION)
        disturbing = asyncio.create_task(self.disturb_control())
        self.counting = True
        await asyncio.sleep(CUT_FOR - REACTION)
        self.counting = False
        await disturbing
        # The last of the counted calls end at their deadline at the latest.
        await asyncio.sleep(DEADLINE)
        cut = len(self.cut_off)
        self.cut_off = frozenset()
        self.judge(way, cut)
        await self.recover()

    async def disturb_control(self):
        """A control host is killed or all hosts read their settings again while the cut lasts."""
        if self.cuts.random() < 0.5:
            await self.kill(self.cuts.choice(self.controls))
        else:
            for host in self.entries:
                host.signal(signal.SIGHUP)

    def judge(self, way, cut):
        first = self.first
        asked = first["cut_off_asked"]
        share = first["cut_off_served"] / max(asked, 1)
        others = first["others_served"] / max(first["others_asked"], 1)
        failed = asked - first["cut_off_served"]
        most = MOST_FAILED + MOST_FAILED_SHARE * (asked + first["others_asked"])
        self.counts[f"{way}_asked"] += asked
        self.counts[f"{way}_served"] += first["cut_off_served"]
        self.counts[f"{way}_others_asked"] += first["others_asked"]
        self.counts[f"{way}_others_served"] += first["others_served"]
        if asked < LEAST_ASKED:
            self.find("too_few_calls_counted", f"{way}, {cut} hosts: {asked}")
        if share < LEAST_RATIO * others and failed > most:
            detail = f"{way}, {cut} hosts: {failed} of {asked} failed, the others served {others:.2f}"
            self.find("isolated_host_serves_nobody", detail)

    async def run(self):
        await self.start()
        work = [asyncio.create_task(self.caller(f"c{number}")) for number in range(8)]
        work.append(asyncio.create_task(self.call_steadily()))
        await asyncio.sleep(1)
        for way in self.options.ways.split(","):
            await self.wave(way)
        self.ending = True
        await asyncio.gather(*work, self.operating)
        await self.recover()
        self.stop_announcing()
        self.count_runs()


def main():
    parser = soak_parser(__doc__)
    parser.add_argument("--ways", default=",".join(CUT_WAYS), help="how hosts are cut off, one wave each")
    soak_seeds(parser.parse_args(), IsolatedHosts)


if __name__ == "__main__":
    main()
