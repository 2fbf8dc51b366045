#!/usr/bin/env python3
"""Guards against streams that hold events of two software versions of their service.

The targets of a service run two versions side by side, and half of all streams break off, half of these inside an
event. Callers take them up again at any entry host. In the waves beside it entry hosts are killed, control hosts are
killed, or one version replaces the other. In the waves all_entries and all_hosts, which run only where they are named,
all entry hosts are killed at once as each target is replaced: guards against streams whose record is lost and that go
on at the version that is left. In all_hosts the control hosts are killed shortly before. In stopped_hosts a host of each
role is stopped while a target is replaced, and handles what came meanwhile when it goes on.

Counts the streams that hold events of two versions, and the shares of new streams that begin and of taken-up streams
that go on while two targets of their version serve. Build first.

    test/soak/software_versions.py --build build --seed 1
"""

import asyncio
import collections
import random
import signal

from soak import Soak, soak_parser, soak_seeds
from standins import Target, read_head, reset

WAVES = ("side_by_side", "entries", "release", "controls")
MORE_WAVES = ("all_entries", "all_hosts", "stopped_hosts")
WAVE_LASTS = 6.0
# What the users allow.
MOST_MIXED = 2
LEAST_RATIO = 0.5
LEAST_TAKEN_UP = 12
LEAST_TARGETS = 2
# Without a host that takes connections, callers wait.
ALL_DOWN_PAUSE = 0.05

EVENTS = 30
EVENT_PAUSE = 0.03
BREAK_SHARE = 1 / 2
CALL_INTERVAL = 0.025
# What callers allow a stream over all their tries, in seconds.
DEADLINE = 6.0
MOST_TRIES = 4
PART_OF_EVENT = b"id: 99\nda"


class VersionedTarget(Target):
    """Writes its software's version into each event. Breaks some streams off."""

    version = "v1"
    breaking = True
    # Whether the body of its streams has neither a length nor chunks and ends with the connection.
    unframed = False

    def announcement(self):
        return super().announcement() | {"version": self.version}

    def begin_stream(self, echo, writer):
        if not self.unframed:
            super().begin_stream(echo, writer)
            return
        writer.write(
            f"HTTP/1.1 200 OK\r\n{echo}Content-Type: text/event-stream\r\nConnection: close\r\n\r\n".encode()
        )

    def chunk(self, data):
        return data if self.unframed else f"{len(data):x}\r\n".encode() + data + b"\r\n"

    async def stream(self, request, last, echo, writer):
        breaks = self.breaking and self.random.random() < BREAK_SHARE
        break_after = self.random.randint(last + 1, EVENTS) if breaks and last + 1 < EVENTS else None
        self.begin_stream(echo, writer)
        version = self.version
        for number in range(last + 1, EVENTS + 1):
            writer.write(self.chunk(f"id: {number}\ndata: {version}\n\n".encode()))
            if number == break_after and number < EVENTS:
                inside = self.random.random() < 0.5
                if inside:
                    writer.write(self.chunk(PART_OF_EVENT))
                await writer.drain()
                # A stream without length or chunks that ends between two events is whole, unless it is reset.
                if self.random.random() < 0.5 or (self.unframed and not inside):
                    reset(writer)
                raise EOFError
            await writer.drain()
            await asyncio.sleep(EVENT_PAUSE)
        if self.unframed:
            raise EOFError
        writer.write(b"0\r\n\r\n")


class Stream:
    """A stream as its caller has it, over all tries."""

    def __init__(self):
        self.versions = []
        self.last = 0
        # The try that brought the first event.
        self.begun_as = None
        self.whole = False


class SoftwareVersions(Soak):
    target_class = VersionedTarget

    def __init__(self, options, seed):
        super().__init__(options, seed)
        self.models = [target for target in self.targets if target.service == "lm"]
        self.draws = random.Random(-3 * seed)
        self.streams = []
        self.begun = 0
        self.shares = collections.Counter()
        self.releases = 0
        self.all_down = False
        for number, target in enumerate(self.models):
            target.version = f"v{1 + number % 2}"
            target.unframed = options.unframed

    async def take_stream(self, request, reader):
        """Reads the answer to a probe, whose events are not those that other runs expect."""
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            await reader.readexactly(size + 2)
        await reader.readexactly(2)

    def serving(self, version):
        return sum(target.version == version and target.state == "ready" for target in self.models)

    async def try_once(self, stream, request, host, deadline):
        """Makes one try. Returns the seconds after which the caller may come back, None where it is through."""
        resumes = ""
        if stream.begun_as is not None:
            resumes = f"Last-Event-Id: {stream.last}\r\nResumes: {stream.begun_as}\r\n"
        left = deadline - asyncio.get_running_loop().time()
        writer = None
        try:
            async with asyncio.timeout(left):
                reader, writer = await asyncio.open_connection(host.ip, self.port + 1)
                writer.write(
                    f"POST /streams/7 HTTP/1.1\r\nHost: h\r\nX-Request-Id: {request}\r\nX-Credential: key\r\n"
                    f"X-Deadline-Ms: {int(left * 1000)}\r\n{resumes}Content-Length: 0\r\n\r\n".encode()
                )
                first, fields = await read_head(reader)
                if int(first.split()[1]) != 200:
                    self.counts[f"stream_status_{first.split()[1]}"] += 1
                    return float(fields.get("retry-after", "0.1"))
                await self.read_events(stream, request, reader)
        except (OSError, EOFError, TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer is not None:
                writer.close()
        return None if stream.whole else 0.01

    async def read_events(self, stream, request, reader):
        text = b""
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            text += (await reader.readexactly(size + 2))[:-2]
            while b"\n\n" in text:
                event, text = text.split(b"\n\n", 1)
                self.take_event(stream, request, event.decode())
        await reader.readexactly(2)
        stream.whole = stream.last == EVENTS
        if not stream.whole or text:
            self.find("cut_stream_looked_whole", f"{request}: ends after event {stream.last}, {text!r}")

    def take_event(self, stream, request, event):
        number, version = (line.split(": ")[1] for line in event.split("\n"))
        if int(number) != stream.last + 1:
            self.find("stream_out_of_order", f"{request}: {number} after {stream.last}")
        stream.last = int(number)
        if stream.begun_as is None:
            stream.begun_as = request
        if version not in stream.versions:
            stream.versions.append(version)

    async def one_stream(self, number):
        stream = Stream()
        deadline = asyncio.get_running_loop().time() + DEADLINE
        for attempt in range(MOST_TRIES):
            while self.all_down:
                await asyncio.sleep(ALL_DOWN_PAUSE)
            host = self.random.choice(self.entries)
            before = stream.last
            version = stream.versions[0] if stream.versions else None
            served = version is None or self.serving(version) >= LEAST_TARGETS
            calm = host.faults == 0
            pause = await self.try_once(stream, f"s-{number}-{attempt}", host, deadline)
            # A host that is killed meanwhile cannot serve; nor can it before it knows of targets again.
            if served and calm and host.faults == 0:
                kind = "new" if version is None else "taken_up"
                self.shares[f"{kind}_asked"] += 1
                self.shares[f"{kind}_served"] += stream.last > before
            if pause is None or asyncio.get_running_loop().time() + pause >= deadline:
                break
            await asyncio.sleep(pause)
        self.streams.append(stream)

    async def call_steadily(self):
        pending = set()
        while not self.ending:
            self.begun += 1
            task = asyncio.create_task(self.one_stream(self.begun))
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(CALL_INTERVAL)
        await asyncio.gather(*pending)

    # What happens beside the breaks.

    async def side_by_side(self):
        await asyncio.sleep(WAVE_LASTS)

    async def entries_wave(self):
        for _ in range(int(WAVE_LASTS / 2)):
            host = self.draws.choice(self.entries)
            host.faults += 1
            await self.kill(host)
            await asyncio.sleep(2)
            host.faults -= 1

    async def release(self):
        """The last version replaces the first, one target after the other."""
        for target in self.models:
            if target.version == "v1":
                target.state = "draining"
                await asyncio.sleep(1.5)
                target.version = "v2"
                target.restart()
        await asyncio.sleep(1)
        for number, target in enumerate(self.models):
            if number % 2 == 0:
                target.state = "draining"
                await asyncio.sleep(1.5)
                target.version = "v3"
                target.restart()

    async def controls_wave(self):
        await self.kill_all_controls(None)
        await asyncio.sleep(WAVE_LASTS)

    async def kill_all_entries(self):
        self.all_down = True
        for host in self.entries:
            host.faults += 1
            host.signal(signal.SIGKILL)
        await asyncio.gather(*(host.restart() for host in self.entries))
        await asyncio.gather(*(self.takes_connections(host) for host in self.entries))
        self.all_down = False
        await asyncio.sleep(1)
        for host in self.entries:
            host.faults -= 1

    async def takes_connections(self, host):
        while True:
            try:
                _, writer = await asyncio.open_connection(host.ip, self.port + 1)
                writer.close()
                return
            except OSError:
                await asyncio.sleep(ALL_DOWN_PAUSE)

    async def replace(self, kill_controls):
        """A new version replaces the others. Streams still run at a target when it leaves and all entry hosts end."""
        self.releases += 1
        for target in self.models:
            if kill_controls:
                await self.kill_all_controls(None)
                await asyncio.sleep(self.draws.uniform(1, 4))
            target.state = "draining"
            # Records of streams that began in the last 0.1 s are lost.
            await asyncio.sleep(self.draws.uniform(0, 0.1))
            killing = asyncio.create_task(self.kill_all_entries())
            target.version = f"r{self.releases}"
            target.restart()
            await killing
            await asyncio.sleep(1.5)

    async def all_entries(self):
        await self.replace(False)

    async def all_hosts(self):
        await self.replace(True)

    async def stopped_hosts(self):
        self.releases += 1
        for target in self.models:
            stopped = [self.draws.choice(self.entries), self.draws.choice(self.controls)]
            for host in stopped:
                host.faults += 1
                host.signal(signal.SIGSTOP)
            await asyncio.sleep(self.draws.uniform(0, 0.5))
            target.state = "draining"
            await asyncio.sleep(0.5)
            target.version = f"s{self.releases}"
            target.restart()
            await asyncio.sleep(self.draws.uniform(1, 2.5))
            for host in stopped:
                host.signal(signal.SIGCONT)
            await asyncio.sleep(1)
            for host in stopped:
                host.faults -= 1

    async def wave(self, name):
        self.streams.clear()
        self.shares.clear()
        waves = {
            "side_by_side": self.side_by_side,
            "entries": self.entries_wave,
            "release": self.release,
            "controls": self.controls_wave,
            "all_entries": self.all_entries,
            "all_hosts": self.all_hosts,
            "stopped_hosts": self.stopped_hosts,
        }
        self.ending = False
        calling = asyncio.create_task(self.call_steadily())
        await waves[name]()
        self.ending = True
        await calling
        self.judge(name)

    def judge(self, name):
        shares = self.shares
        mixed = sum(len(stream.versions) > 1 for stream in self.streams)
        new = shares["new_served"] / max(shares["new_asked"], 1)
        taken_up = shares["taken_up_served"] / max(shares["taken_up_asked"], 1)
        self.counts[f"{name}_streams"] += len(self.streams)
        self.counts[f"{name}_mixed"] += mixed
        self.counts[f"{name}_whole"] += sum(stream.whole for stream in self.streams)
        for kind, count in shares.items():
            self.counts[f"{name}_{kind}"] += count
        if mixed > (MOST_MIXED if name in WAVES else 0):
            named = [f"{stream.begun_as} {stream.versions}" for stream in self.streams if len(stream.versions) > 1]
            self.find("streams_of_two_versions", f"{name}: {mixed} of {len(self.streams)}: {', '.join(named[:3])}")
        if shares["taken_up_asked"] < LEAST_TAKEN_UP:
            self.find("too_few_calls_counted", f"{name}: {shares['taken_up_asked']} taken up")
        elif taken_up < LEAST_RATIO * new:
            self.find("taken_up_streams_refused", f"{name}: {taken_up:.2f} go on, {new:.2f} of the new ones begin")

    async def run(self):
        await self.start()
        operating = self.operating
        for name in self.options.waves.split(","):
            await self.wave(name)
        self.ending = True
        await operating
        self.stop_announcing()
        self.count_runs()


def main():
    parser = soak_parser(__doc__)
    waves = f"what happens beside the breaks, one wave each; also {', '.join(MORE_WAVES)}"
    parser.add_argument("--waves", default=",".join(WAVES), help=waves)
    parser.add_argument("--unframed", action="store_true", help="streams end with their connection")
    soak_seeds(parser.parse_args(), SoftwareVersions)


if __name__ == "__main__":
    main()
