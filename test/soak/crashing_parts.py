#!/usr/bin/env python3
"""Guards against a part of prompts that crashes each target that answers it being sent to target after target.

Requests that are all different share one part, not the last of their prompts, and crash each target that begins to
answer them. They come at any entry host; sound requests share their caller, their first part and all other parts. Three
seconds after the fifth crash no more than three requests with the part may reach a target, also after all hosts were
killed at once, and from six seconds after it sound requests must begin half as often as before at least. A crash of
most targets at once, before the deadly requests come, must have no request refused. Build first.

    test/soak/crashing_parts.py --build build --seed 1
"""

import asyncio
import collections
import random
import signal

from soak import Soak, soak_parser, soak_seeds
from standins import ENDS, Target, read_head

CRASHES = 5
# From the fifth crash, in seconds: until hosts must know of the part, and until sound requests must begin again.
NOTICE = 3.0
RECOVERED = 6.0
# Nothing proves the end of a target that answers nothing before it counts as silent.
SILENCE = 9.0
MOST_SENT = 3
LEAST_RATIO = 0.5
DEADLINE = 4.0
CALM_FOR = 3.0
COUNTED_FOR = 5.0
RECOVERY_FOR = 4.0
# Until five crashes; a part that is refused earlier has fewer.
MOST_TIME = 8.0
MASS_CRASH = 2
FIRST_PART = "f1057"
OTHER_PARTS = [f"0be{number}" for number in range(8)]


class PromptTarget(Target):
    """Crashes when it begins to answer a prompt with a deadly part that is not the last one."""

    deadly = frozenset()

    async def answer(self, path, fields, body, host, writer):
        prompt = fields.get("x-prompt-prefix", "")
        shared = [entry.split(":")[0] for entry in prompt.split(",")][:-1]
        ours = fields.get("x-target-instance", self.id) == self.id
        if not ours or not self.deadly.intersection(shared):
            await super().answer(path, fields, body, host, writer)
            return
        request = fields["x-request-id"]
        self.crashing_arrivals.append((asyncio.get_running_loop().time(), prompt))
        self.ledger[request] = self.ledger.get(request, 0) + 1
        self.crashing = asyncio.create_task(self.crash(prompt))
        self.begin_stream(f"X-Request-Id: {request}\r\n", writer)


class CrashingParts(Soak):
    target_class = PromptTarget

    def __init__(self, options, seed):
        super().__init__(options, seed)
        self.models = [target for target in self.targets if target.service == "lm"]
        self.draws = random.Random(-5 * seed)
        self.deadly = [f"dead{number}" for number in range(options.parts)]
        self.sent = 0
        # Under which name first attempts are counted at the moment, None while they are not.
        self.phase = None
        self.begun = collections.Counter()
        for target in self.models:
            target.deadly = frozenset(self.deadly)
            target.end = options.end
            target.born = 1 if options.end == "restart" else None

    def route(self, name, kind, service, resumable):
        return super().route(name, kind, service, resumable) | {"sticky": name == "streams"}

    async def ask_prompt(self, name, parts):
        """Sends a prompt with these shared parts. Returns whether its stream begins."""
        self.sent += 1
        request = f"{name}-{self.sent}"
        prompt = ",".join([f"{part}:400" for part in parts] + [f"{self.draws.getrandbits(48):x}:100"])
        host = self.random.choice(self.entries)
        begins = False
        writer = None
        try:
            async with asyncio.timeout(DEADLINE + 1):
                reader, writer = await asyncio.open_connection(host.ip, self.port + 1)
                writer.write(
                    f"POST /streams/{self.sent} HTTP/1.1\r\nHost: h\r\nX-Request-Id: {request}\r\n"
                    f"X-Credential: key\r\nX-Deadline-Ms: {int(DEADLINE * 1000)}\r\nX-Model: m\r\n"
                    f"X-Token-Usage: {400 * len(parts) + 100},20\r\nX-Prompt-Prefix: {prompt}\r\n"
                    "Content-Length: 0\r\n\r\n".encode()
                )
                first, fields = await read_head(reader)
                status = int(first.split()[1])
                self.counts[f"{name}_{status}"] += 1
                if status != 200:
                    body = await reader.readexactly(int(fields.get("content-length", "0")))
                    if name == "sound" and b"targets ended" in body:
                        self.find("bystander_refused", f"{request}, {prompt}")
                    if status in (429, 503):
                        self.refused.add(request)
                    return False
                while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                    await reader.readexactly(size + 2)
                    begins = True
        except (OSError, EOFError, TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer is not None:
                writer.close()
        return begins

    async def ask_sound(self):
        phase = self.phase
        begins = await self.ask_prompt("sound", [FIRST_PART, self.draws.choice(OTHER_PARTS)])
        if phase is not None and phase == self.phase:
            self.begun[f"{phase}_asked"] += 1
            self.begun[f"{phase}_begun"] += begins

    async def ask_deadly(self):
        await self.ask_prompt("deadly", [FIRST_PART, self.draws.choice(self.deadly)])

    async def repeat(self, ask, interval):
        """Calls the function at this interval, whether earlier calls have ended or not."""
        pending = set()
        try:
            while True:
                task = asyncio.create_task(ask())
                pending.add(task)
                task.add_done_callback(pending.discard)
                await asyncio.sleep(interval)
        finally:
            for task in pending:
                task.cancel()

    def crashes(self, part):
        return sorted(moment for target in self.models for moment, prompt in target.crashes if part in prompt)

    def arrivals_since(self, part, moment):
        arrivals = [arrival for target in self.models for arrival in target.crashing_arrivals]
        return sum(arrived > moment and part in prompt for arrived, prompt in arrivals)

    async def count(self, phase, seconds):
        self.phase = phase
        await asyncio.sleep(seconds)
        self.phase = None

    async def crash_most_at_once(self):
        for target in self.models[:MASS_CRASH]:
            target.crashing = asyncio.create_task(target.crash("none"))
        await asyncio.sleep(RECOVERY_FOR)
        for target in self.models:
            target.crashes.clear()

    async def kill_all_hosts(self):
        hosts = self.controls + self.entries
        for host in hosts:
            host.faults += 1
            host.signal(signal.SIGKILL)
        await asyncio.gather(*(host.restart() for host in hosts))
        await self.recover()
        for host in hosts:
            host.faults -= 1

    def now(self):
        return asyncio.get_running_loop().time()

    async def disturb(self):
        await self.crash_most_at_once()
        await self.count("calm", CALM_FOR)
        deadly = asyncio.create_task(self.repeat(self.ask_deadly, self.options.interval))
        # Where a part is refused after fewer crashes, the last one counts.
        begun = self.now()
        while self.now() < begun + MOST_TIME and any(len(self.crashes(part)) < CRASHES for part in self.deadly):
            await asyncio.sleep(0.05)
        last = {part: self.crashes(part)[:CRASHES][-1] for part in self.deadly}
        silence = SILENCE if self.options.end == "dark" else 0
        await asyncio.sleep(max(0.0, max(last.values()) + RECOVERED + silence - self.now()))
        await self.count("deadly", COUNTED_FOR)
        await self.kill_all_hosts()
        await self.count("restarted", COUNTED_FOR)
        deadly.cancel()
        for part in self.deadly:
            late = self.arrivals_since(part, last[part] + NOTICE + silence)
            self.counts["crashes"] += len(self.crashes(part))
            self.counts["sent_after_notice"] += late
            self.counts["sent_until_notice"] += self.arrivals_since(part, 0) - late
            if late > MOST_SENT:
                self.find("sent_again_after_five_crashes", f"{part}: {late} requests reached a target")
        self.judge("deadly")
        self.judge("restarted")

    def share(self, phase):
        return self.begun[f"{phase}_begun"] / max(self.begun[f"{phase}_asked"], 1)

    def judge(self, phase):
        self.counts[f"{phase}_asked"] = self.begun[f"{phase}_asked"]
        self.counts[f"{phase}_begun"] = self.begun[f"{phase}_begun"]
        if self.share(phase) < LEAST_RATIO * self.share("calm"):
            self.find("sound_prompts_refused", f"{phase}: {self.share(phase):.2f}, calm: {self.share('calm'):.2f}")

    async def run(self):
        await self.start()
        sound = asyncio.create_task(self.repeat(self.ask_sound, self.options.sound))
        await asyncio.sleep(1)
        await self.disturb()
        self.ending = True
        sound.cancel()
        await self.operating
        self.stop_announcing()
        self.count_runs()


def main():
    parser = soak_parser(__doc__)
    parser.add_argument("--end", choices=ENDS, default="refuse", help="how a target ends under the request")
    parser.add_argument("--models", type=int, default=3, help="number of targets that answer prompts")
    parser.add_argument("--parts", type=int, default=1, help="number of deadly parts")
    parser.add_argument("--interval", type=float, default=0.25, help="seconds between two deadly requests")
    parser.add_argument("--sound", type=float, default=0.05, help="seconds between two sound requests")
    soak_seeds(parser.parse_args(), CrashingParts)


if __name__ == "__main__":
    main()
