#!/usr/bin/env python3
"""Guards against calls that begin on weights older than those that were acknowledged version-ms before, and against
engines that get no new weights.

Twelve engines load weights on orders, which takes longer while many of them load. In the waves versions are named in
quick succession while entry hosts are killed (entries, late), also after a control host (control_first) or all control
hosts (all_controls) were killed; all engines end three times while a version is named (away), and half of the entry
hosts are killed meanwhile (away_killed); a version is named each second (quick). In the wave mixed hosts are killed, stopped,
reloaded and suspended, and engines end, in a drawn order that overlaps, beside versions at drawn times. Build first.

    test/soak/old_weights.py --build build --seed 1
"""

import asyncio
import json
import random
import signal

from soak import Soak, soak_parser, soak_seeds
from standins import Target, call, read_head

WAVES = ("entries", "control_first", "all_controls", "late", "away", "away_killed", "quick")
# Runs only where it is named.
MORE_WAVES = ("mixed",)
ENGINES = 12
MODEL = "m"
# The users' bound, in seconds: bounds.version-ms.
VERSION_BOUND = 12.0
# A load alone, in seconds, and the part of it that each further engine adds to the loads beside it.
LOAD = 1.2
BESIDE = 0.15
LOADS_ALONE = 2
CALL_INTERVAL = 0.025
DEADLINE = 4.0
ROUND_PAUSE = 4.0
AWAY = 4.5
# What the users allow from the return of all engines until the last one has the new weights.
LAST_READY = 4.8
LEAST_SERVED = 0.9
QUICK_VERSIONS = 44
MIXED_VERSIONS = 12


class Engine(Target):
    """An engine of one model that loads weights on orders."""

    run = None

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.version = 1
        self.loading = None
        self.accepted = 0
        self.loads = 0
        self.ready_at = 0.0

    def announcement(self):
        if self.service != "lm":
            return super().announcement()
        models = [{"name": MODEL, "version": self.version, "adapters": []}]
        return super().announcement() | {"stage": "unified", "models": models, "slots": 64}

    def state_report(self):
        return self.announcement() | {
            "busy": self.loading is not None,
            "sequence": self.accepted,
            "queued": 0,
            "running": 0,
            "kv-used": 0,
            "kv-total": 100000,
            "handles": 0,
        }

    async def load(self, version):
        life = self.life
        beside = sum(engine.loading is not None for engine in self.run.engines) - 1
        self.loading = version
        await asyncio.sleep(LOAD * (1 + BESIDE * max(0, beside + 1 - LOADS_ALONE)))
        if self.life == life and self.state != "crashed":
            self.version = version
            self.loading = None
            self.loads += 1
            self.ready_at = asyncio.get_running_loop().time()

    def take_order(self, body):
        order = json.loads(body)
        if order["version"] == self.version:
            return 200
        if self.loading is not None or order.get("expect", self.accepted) != self.accepted:
            return 409
        self.accepted += 1
        self.task = asyncio.create_task(self.load(order["version"]))
        return 202

    async def answer(self, path, fields, body, host, writer):
        if path == "/-/report":
            report = json.dumps(self.state_report())
            writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(report)}\r\n\r\n{report}".encode())
            return
        if path == "/-/order":
            writer.write(f"HTTP/1.1 {self.take_order(body)} Order\r\nContent-Length: 0\r\n\r\n".encode())
            return
        expected = fields.get("x-expect-version")
        refusal = None
        if expected is not None and int(expected) != self.version:
            refusal = "421 Other"
        elif self.loading is not None and "x-model" in fields:
            refusal = "503 Loading"
        if refusal is not None:
            echo = f"X-Request-Id: {fields.get('x-request-id', '')}\r\n"
            writer.write(f"HTTP/1.1 {refusal}\r\n{echo}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
            return
        if "x-model" in fields:
            self.run.on_begin(self, fields["x-request-id"])
        await super().answer(path, fields, body, host, writer)

    async def end_for(self, seconds):
        self.state = "crashed"
        self.loading = None
        self.proxy.stop()
        await asyncio.sleep(seconds)
        await self.proxy.start_again()
        self.accepted = 0
        self.restart()


class OldWeights(Soak):
    target_class = Engine
    more_settings = (f"bounds.version-ms={int(VERSION_BOUND * 1000)}",)

    def __init__(self, options, seed):
        options.models = ENGINES
        super().__init__(options, seed)
        self.engines = [target for target in self.targets if target.service == "lm"]
        for target in self.targets:
            target.run = self
        self.draws = random.Random(-7 * seed)
        self.named = 1
        # When each version was acknowledged, or control returned after it.
        self.acks = {}
        self.late = []
        self.asked = self.served = 0
        self.number = 0

    def encode(self, version, routes):
        document = json.loads(super().encode(version, routes))
        engine = {"slots": 64, "kv-capacity": 100000, "kv-token-bytes": 1000, "link-mbps": 100000.0}
        for service in document["services"]:
            if service["name"] == "lm":
                service["engine"] = engine | {"models": [{"name": MODEL}]}
        return json.dumps(document)

    def route(self, name, kind, service, resumable):
        return super().route(name, kind, service, resumable) | {"sticky": service == "lm"}

    async def operate(self):
        """The configuration stays as it is; changes of it have soaks of their own."""
        self.version = 1
        while self.acknowledged == 0:
            host = self.random.choice(self.controls)
            status, _ = await call((host.ip, self.port), "PUT", "/-/config", self.document(), 3)
            if status == 200:
                self.acknowledged = 1
            await asyncio.sleep(0.1)

    def on_begin(self, engine, request):
        now = asyncio.get_running_loop().time()
        newer = [at for version, at in self.acks.items() if version > engine.version]
        if newer and now - min(newer) > VERSION_BOUND:
            self.late.append(f"{request} on {engine.version}, {now - min(newer):.1f} s after a newer one")

    async def name_version(self):
        self.named += 1
        version = self.named
        body = json.dumps({"model": MODEL, "version": version})
        while True:
            host = self.random.choice(self.controls)
            status, _ = await call((host.ip, self.port), "POST", "/-/version-put", body, 1)
            if status == 200:
                self.acks[version] = asyncio.get_running_loop().time()
                return
            await asyncio.sleep(0.05)

    async def name_versions(self, count, pause):
        for _ in range(count):
            naming = asyncio.create_task(self.name_version())
            await asyncio.sleep(pause)
            await naming

    async def try_once(self, request, host, deadline):
        """Returns whether the call was served, and the seconds after which its caller may come back."""
        left = deadline - asyncio.get_running_loop().time()
        writer = None
        try:
            async with asyncio.timeout(left):
                reader, writer = await asyncio.open_connection(host.ip, self.port + 1)
                writer.write(
                    f"POST /streams/7 HTTP/1.1\r\nHost: h\r\nX-Request-Id: {request}\r\nX-Credential: key\r\n"
                    f"X-Model: {MODEL}\r\nX-Token-Usage: 60,8\r\nX-Prompt-Prefix: 5c1e:40,{request[1:]}:20\r\n"
                    f"X-Deadline-Ms: {int(left * 1000)}\r\nContent-Length: 0\r\n\r\n".encode()
                )
                first, fields = await read_head(reader)
                if int(first.split()[1]) != 200:
                    return False, float(fields.get("retry-after", "0.2"))
                while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                    await reader.readexactly(size + 2)
                return True, 0.0
        except (OSError, EOFError, TimeoutError, asyncio.IncompleteReadError):
            return False, 0.1
        finally:
            if writer is not None:
                writer.close()

    async def one_call(self):
        self.number += 1
        number = self.number
        deadline = asyncio.get_running_loop().time() + DEADLINE
        self.asked += 1
        tries = 0
        while asyncio.get_running_loop().time() < deadline - 0.1:
            host = self.random.choice(self.entries)
            served, pause = await self.try_once(f"c{number * 16 + tries:x}", host, deadline)
            tries += 1
            if served:
                self.served += 1
                return
            await asyncio.sleep(pause)

    async def call_steadily(self):
        pending = set()
        while not self.ending:
            task = asyncio.create_task(self.one_call())
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(CALL_INTERVAL)
        await asyncio.gather(*pending)

    async def kill_some(self, hosts):
        for host in hosts:
            host.signal(signal.SIGKILL)
        await asyncio.gather(*(host.restart() for host in hosts))

    def some_entries(self, count):
        return self.draws.sample(self.entries, count)

    # The waves.

    async def entries_wave(self):
        naming = asyncio.create_task(self.name_versions(5, ROUND_PAUSE))
        await asyncio.sleep(11)
        await self.kill_some(self.some_entries(4))
        await naming
        await asyncio.sleep(8)

    async def control_first(self):
        naming = asyncio.create_task(self.name_versions(5, ROUND_PAUSE))
        await asyncio.sleep(8)
        await self.kill_some([self.draws.choice(self.controls)])
        await asyncio.sleep(3)
        await self.kill_some(self.some_entries(4))
        await naming
        await asyncio.sleep(8)

    async def all_controls(self):
        naming = asyncio.create_task(self.name_versions(4, ROUND_PAUSE))
        await asyncio.sleep(6)
        await self.kill_some(self.controls)
        returned = asyncio.get_running_loop().time()
        for version, at in self.acks.items():
            self.acks[version] = max(at, returned)
        await asyncio.sleep(4)
        await self.kill_some(self.some_entries(len(self.entries) // 2))
        await naming
        await asyncio.sleep(8)

    async def late_wave(self):
        naming = asyncio.create_task(self.name_versions(5, ROUND_PAUSE))
        await asyncio.sleep(13)
        for host in self.some_entries(4):
            await self.kill_some([host])
            await asyncio.sleep(0.6)
        await naming
        await asyncio.sleep(8)

    async def all_engines_away(self, killed):
        naming = asyncio.create_task(self.name_version())
        for number in range(3):
            ends = [asyncio.create_task(engine.end_for(AWAY)) for engine in self.engines]
            if killed and number == 2:
                await asyncio.sleep(1)
                await self.kill_some(self.some_entries(len(self.entries) // 2))
            await asyncio.gather(*ends)
            await asyncio.sleep(0.5)
        await naming
        returned = asyncio.get_running_loop().time() - 0.5
        await asyncio.sleep(12)
        last = max(engine.ready_at for engine in self.engines) - returned
        self.counts["last_ready_ms"] = max(self.counts["last_ready_ms"], int(last * 1000))
        first = min(engine.ready_at for engine in self.engines) - returned
        self.counts["first_ready_ms"] = max(self.counts["first_ready_ms"], int(first * 1000))
        outdated = sum(engine.version < self.named for engine in self.engines)
        if last > LAST_READY or outdated:
            self.find("engines_ready_late", f"last after {last:.1f} s, {outdated} still outdated")

    async def away(self):
        await self.all_engines_away(False)

    async def away_killed(self):
        await self.all_engines_away(True)

    async def quick(self):
        before = {engine: engine.loads for engine in self.engines}
        await self.name_versions(QUICK_VERSIONS, 1.0)
        loads = [engine.loads - before[engine] for engine in self.engines]
        self.counts["least_loads"], self.counts["most_loads"] = min(loads), max(loads)
        if max(loads) - min(loads) > 1:
            self.find("engines_starved", f"loads of weights by engine: {loads}")
        if self.served < LEAST_SERVED * (self.asked - 40):
            self.find("calls_not_served", f"{self.served} of {self.asked} while a version is named each second")

    async def one_fault(self, fault, host):
        host.faults += 1
        await fault(host)
        host.faults -= 1

    async def end_engine(self, _):
        engine = self.draws.choice(self.engines)
        if engine.state == "ready":
            await engine.end_for(self.draws.uniform(0.5, 4))

    async def mixed(self):
        naming = asyncio.create_task(self.name_versions(MIXED_VERSIONS, self.draws.uniform(1, 3)))
        pending = set()
        while not naming.done():
            await asyncio.sleep(self.draws.uniform(0.2, 1.5))
            fault = self.draws.choice((self.kill, self.kill, self.stop, self.reload, self.pause, self.end_engine))
            # Most of the control hosts stay: without them the bound begins anew.
            busy = any(host.faults > 0 for host in self.controls)
            host = self.draws.choice(self.entries if busy else self.entries + self.controls)
            if host.faults == 0:
                pending.add(asyncio.create_task(self.one_fault(fault, host)))
        await asyncio.gather(naming, *pending)

    async def wave(self, name):
        waves = {
            "entries": self.entries_wave,
            "control_first": self.control_first,
            "all_controls": self.all_controls,
            "late": self.late_wave,
            "away": self.away,
            "away_killed": self.away_killed,
            "quick": self.quick,
            "mixed": self.mixed,
        }
        self.late.clear()
        self.asked = self.served = 0
        self.ending = False
        calling = asyncio.create_task(self.call_steadily())
        await asyncio.sleep(1)
        await waves[name]()
        self.ending = True
        await calling
        self.counts[f"{name}_calls"] += self.asked
        self.counts[f"{name}_served"] += self.served
        self.counts[f"{name}_late"] += len(self.late)
        if self.late:
            self.find("begun_on_old_weights", f"{name}: {len(self.late)}: {', '.join(self.late[:3])}")
        await self.settle()

    async def settle(self):
        """Waits until all engines have the newest weights."""
        await self.within(self.all_at_newest)
        await asyncio.sleep(1)

    async def all_at_newest(self):
        return all(engine.version == self.named for engine in self.engines)

    async def run(self):
        await self.start()
        await asyncio.sleep(4)
        for name in self.options.waves.split(","):
            await self.wave(name)
        self.ending = True
        await self.operating
        self.stop_announcing()
        self.count_runs()


def main():
    parser = soak_parser(__doc__)
    parser.set_defaults(entries=7)
    parser.add_argument("--waves", default=",".join(WAVES), help=f"one after the other; also {', '.join(MORE_WAVES)}")
    soak_seeds(parser.parse_args(), OldWeights)


if __name__ == "__main__":
    main()
