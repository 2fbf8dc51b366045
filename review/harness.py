"""A small deployment of the project's own programs on loopback, and stand-ins for what speaks to it.

Three control hosts and three entry hosts run as processes of their own, started with the commands of
deploy/system.toml. Replicas, consumers and the operator are coroutines of the calling script.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
ZONES = ("zone-a", "zone-b", "zone-c")
# The port that the commands of the deploy file name.
METRICS_PORT = 9464
HEARTBEAT = 1.2
CONFIG_APPLY = 2.0
START_LIMIT = 40
HOST = "desk.example"
# The machines of the small deployment that the cases name.
MEMORY_MB = {"control": 256, "entry": 110}
RESTART_DELAY = 0.5

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be set up, so it says nothing about the rule."""


class Record:
    """record.txt of a case: what was sent, answered and run, one line an event."""

    def __init__(self, folder):
        self.begun = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def add(self, event, **fields):
        line = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{time.monotonic() - self.begun:8.3f} {event} {line}\n")

    def close(self):
        self.file.close()


def is_free(address, port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((address, port))
        except OSError:
            return False
    return True


def free_ports(count):
    """Returns neighbouring ports at which nothing listens on any address."""
    for first in random.sample(range(21000, 31000, 50), 50):
        if all(is_free("", first + offset) for offset in range(count)):
            return range(first, first + count)
    raise CannotRun("no free ports")


# All hosts listen on the same ports, each on an address of its own.
try:
    _PORTS = free_ports(20)
except CannotRun as _problem:
    print(f"cannot run: {_problem!r}")
    sys.exit(2)
CONTROL_PORT, READY_PORT, FRONT_PORT = _PORTS[0], _PORTS[1], _PORTS[2]
INTERNAL_PORTS = (_PORTS[3], _PORTS[-1])


class Host:
    """One process of the system, with its settings file and, for a control host, its data folder."""

    def __init__(self, system, role, number):
        self.system = system
        self.role = role
        self.zone = ZONES[number % len(ZONES)]
        self.name = f"{role}-{number}"
        self.ip = f"127.{system.subnet}.{1 if role == 'control' else 2}.{number + 1}"
        self.folder = system.folder / self.name
        self.folder.mkdir()
        self.memory_mb = MEMORY_MB[role]
        self.child = None

    def settings(self, first_start):
        seeds = ",".join(f"{host.ip}:{CONTROL_PORT}" for host in self.system.controls)
        lines = [
            f"node={self.name}",
            f"role={self.role}",
            f"machine-class={'core' if self.role == 'control' else 'front'}",
            f"serves={'control' if self.role == 'control' else 'front'}",
            f"ip={self.ip}",
            f"zone={self.zone}",
            "region=region",
        ]
        lines += [f"zones.{zone}=region" for zone in ZONES]
        if self.role == "control":
            (self.folder / "data").mkdir(exist_ok=True)
            lines += [f"listen.control={self.ip}:{CONTROL_PORT}", f"data-dir={self.folder / 'data'}"]
        else:
            lines += [f"listen.front={self.ip}:{FRONT_PORT}", f"listen.ready={self.ip}:{READY_PORT}"]
        lines += [
            f"internal-ports={INTERNAL_PORTS[0]},{INTERNAL_PORTS[1]}",
            f"seeds={seeds}",
            f"bootstrap={'true' if first_start else 'false'}",
            "tolerance-counted=" + ("true" if self.role == "control" else "false"),
            "limits.cpu-share=0.25",
            "limits.cores=1",
            f"limits.memory-mb={self.memory_mb}",
            "limits.max-fds=4100",
            "limits.link-mbps=1000.0",
            "discovery=registry",
            "entry=vip",
            f"heartbeat-ms={int(HEARTBEAT * 1000)}",
            "contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants",
            "fault-tolerance.machines=1",
            "fault-tolerance.zones=1",
            "bounds.contact-ms=3000",
            "bounds.ack-ms=4000",
            "bounds.drain-ms=2000",
            "bounds.grace-s=8",
            "bounds.config-apply-ms=2000",
            "bounds.retry-budget-ratio=0.2",
            "bounds.budget-window-s=10",
            "bounds.retry-budget-slack=58",
            "bounds.lease-ms=3000",
            "bounds.version-ms=12000",
            "config-mode=highest",
        ]
        return "\n".join(lines) + "\n"

    def start(self, first_start):
        path = self.folder / "settings"
        path.write_text(self.settings(first_start), encoding="utf-8")
        with open(self.folder / "log", "ab") as output:
            self.child = subprocess.Popen(
                self.system.commands[self.role],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env={**os.environ, "DAMASKLINK_BOOT": str(path)},
            )

    def used_mb(self):
        """Returns the resident memory of the process, 0 where it has ended."""
        try:
            with open(f"/proc/{self.child.pid}/status", encoding="ascii") as status:
                line = next((line for line in status if line.startswith("VmRSS:")), "VmRSS: 0")
        except OSError:
            return 0
        return int(line.split()[1]) / 1024

    async def hold_to_memory(self, ends):
        """Does what the platform does: kills the process when it uses more than memory-mb, and starts it again."""
        while True:
            used = self.used_mb()
            if used > self.memory_mb:
                self.child.kill()
                self.child.wait()
                self.system.record.add("killed_for_memory", host=self.name, used_mb=round(used), limit_mb=self.memory_mb)
                ends.append(self.name)
                await asyncio.sleep(RESTART_DELAY)
                self.start(first_start=False)
            await asyncio.sleep(0.02)

    def end(self):
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            self.child.wait()


class System:
    """The control and entry hosts of one deployment."""

    def __init__(self, record, entries=3):
        self.record = record
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            roles = tomllib.load(file)["roles"]
        self.commands = {role: roles[role]["run"].split() for role in ("control", "entry")}
        if not (ROOT / self.commands["entry"][0]).exists():
            raise CannotRun("the program is not built")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.subnet = self.choose_subnet()
        self.controls = []
        for number in range(3):
            self.controls.append(Host(self, "control", number))
        self.entries = [Host(self, "entry", number) for number in range(entries)]

    def choose_subnet(self):
        for subnet in random.sample(range(20, 250), 50):
            addresses = [f"127.{subnet}.{kind}.{number}" for kind in (1, 2) for number in (1, 2, 3)]
            if all(is_free(address, METRICS_PORT) for address in addresses):
                return subnet
        raise CannotRun("no free addresses")

    def replica_address(self, number):
        return f"127.{self.subnet}.3.{number + 1}"

    async def start(self, config):
        for host in self.controls + self.entries:
            host.start(first_start=True)
        await self.put_config(config)

    async def put_config(self, config):
        """Sends the configuration until it is acknowledged, as the operator does."""
        end = time.monotonic() + START_LIMIT
        while time.monotonic() < end:
            host = random.choice(self.controls)
            status, _ = await call(
                (host.ip, CONTROL_PORT), "PUT", "/-/config", json.dumps(config), 3
            )
            if status == 200:
                self.record.add("config_acknowledged", version=config["version"], by=host.name)
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the configuration was not acknowledged")

    async def await_ready(self):
        end = time.monotonic() + START_LIMIT
        for host in self.entries:
            while True:
                status, _ = await call((host.ip, READY_PORT), "GET", "/-/readyz", "", 1)
                if status == 200:
                    break
                if time.monotonic() > end:
                    raise CannotRun(f"{host.name} is not ready")
                await asyncio.sleep(0.2)

    def close(self):
        for host in self.controls + self.entries:
            host.end()
        if os.environ.get("KEEP") == "1":
            print(f"logs: {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, kind, service, **other):
    return {
        "name": name,
        "host": HOST,
        "path-prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 4000,
        "target-latency-ms": 400,
        "priority": 1,
        "service": service,
        "max-attempts": 2,
        "public": False,
        "sticky": False,
        "resumable": False,
    } | other


def service(name, **other):
    return {
        "name": name,
        "health-path": "/healthz",
        "max-connections": 200,
        "protocol": "h1",
        "tls": False,
    } | other


LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 4194304,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15000,
}


async def read_head(reader):
    """Returns the first line and the fields, by lower-case name, of an HTTP message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def call(address, method, path, body, timeout):
    """Makes one call on a channel of its own. Returns status and body; status 0 without an answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            payload = body.encode()
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {address[0]}\r\nContent-Type: application/json\r\n"
                f"Connection: close\r\nContent-Length: {len(payload)}\r\n\r\n".encode()
                + payload
            )
            first, fields = await read_head(reader)
            answer = await reader.readexactly(int(fields.get("content-length", "0")))
            return int(first.split()[1]), answer
    except (OSError, EOFError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


class NoAnswer(Exception):
    """The bytes on a channel are not an HTTP answer."""


class Channel:
    """A consumer's kept channel. Reads answers strictly by the protocol."""

    def __init__(self, host):
        self.host = host
        self.record = host.system.record
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(self.host.ip, FRONT_PORT)

    async def ask(self, method, path, fields, body=b""):
        """Returns status, fields and body of the answer."""
        if self.writer is None:
            await self.open()
        self.record.add("sent", request=fields.get("X-Request-Id"), call=f"{method} {path}", to=self.host.name)
        head = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
        head += [f"{name}: {value}" for name, value in fields.items()]
        if body or method in ("POST", "PUT"):
            head.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)
        first, answer = await read_head(self.reader)
        words = first.split(" ")
        if len(words) < 2 or not words[0].startswith("HTTP/1.") or not words[1].isdigit():
            raise NoAnswer(first)
        status = int(words[1])
        content = b""
        bodyless = method == "HEAD" or status in (204, 304)
        if not bodyless and answer.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await self.reader.readuntil(b"\r\n")).strip(), 16):
                content += (await self.reader.readexactly(size + 2))[:-2]
            await self.reader.readexactly(2)
        elif not bodyless:
            content = await self.reader.readexactly(int(answer.get("content-length", "0")))
        if answer.get("connection", "").lower() == "close":
            self.close()
        return status, answer, content

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.reader = self.writer = None


class Replica:
    """A sound replica of a plain service. Subclasses change what it does with a request."""

    slots = 16
    work_s = 0.02

    def __init__(self, system, number, service_name):
        self.system = system
        self.record = system.record
        self.number = number
        self.service = service_name
        self.zone = ZONES[number % len(ZONES)]
        self.id = f"i-{service_name}-{number}-{random.getrandbits(32):08x}"
        self.sequence = 0
        self.running = 0
        self.state = "ready"
        # Request ids that it has run, in order.
        self.runs = []
        self.tasks = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.system.replica_address(self.number), 0)
        self.address = self.server.sockets[0].getsockname()[:2]
        self.tasks.append(asyncio.create_task(self.announce()))

    def announcement(self):
        return {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold-remaining-ms": 0,
            "stage": "unified",
            "models": [],
            "sequence": self.sequence,
        }

    async def announce(self):
        while True:
            self.sequence += 1
            body = json.dumps(self.announcement())
            for control in random.sample(self.system.controls, len(self.system.controls)):
                status, _ = await call(
                    (control.ip, CONTROL_PORT), "PUT", f"/-/instances/{self.id}", body, 1
                )
                if status == 200:
                    break
            await asyncio.sleep(HEARTBEAT)

    async def serve(self, reader, writer):
        channel = {"answered": 0}
        try:
            while True:
                first, fields = await read_head(reader)
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                method, path = first.split(" ")[:2]
                await self.answer(method, path, fields, body, writer, channel)
                channel["answered"] += 1
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            return
        finally:
            writer.close()

    async def answer(self, method, path, fields, body, writer, channel):
        if path == "/healthz":
            writer.write(
                f"HTTP/1.1 200 OK\r\nX-Instance-Id: {self.id}\r\nContent-Length: 0\r\n\r\n".encode()
            )
            return
        request = fields.get("x-request-id", "")
        echo = f"X-Request-Id: {request}\r\n"
        if fields.get("x-target-instance", self.id) != self.id:
            self.write(writer, 421, echo + "X-Not-Executed: 1\r\n", b"")
            return
        if self.running >= self.slots:
            self.write(writer, 503, echo + "X-Not-Executed: 1\r\n", b"")
            return
        self.running += 1
        self.runs.append(request)
        self.record.add("run", request=request, replica=self.id)
        try:
            await self.run(method, path, fields, request, echo, writer, channel)
        finally:
            self.running -= 1

    async def run(self, method, path, fields, request, echo, writer, channel):
        await asyncio.sleep(self.work_s)
        content = self.content(request, path)
        head = echo + f"X-Response-Stamp: {self.stamp(request)}\r\n"
        self.write(writer, 200, head, content, with_body=method != "HEAD")

    def stamp(self, request):
        return f"{self.id}.{request}"

    def content(self, request, path):
        return f"{request} {path}".encode()

    def write(self, writer, status, head, content, with_body=True):
        writer.write(
            f"HTTP/1.1 {status} Status\r\n{head}Content-Length: {len(content)}\r\n\r\n".encode()
            + (content if with_body else b"")
        )

    def stop(self):
        for task in self.tasks:
            task.cancel()
        self.server.close()


def run_case(folder, case):
    """Runs the case, a coroutine that takes the record and returns a list of breaches. Ends the process:
    1 with a breach, 0 without, 2 if the case could not run."""
    record = Record(folder)
    # Ends the hosts' processes, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        breaches = asyncio.run(asyncio.wait_for(case(record), 110))
    except Exception as problem:
        record.add("cannot_run", problem=repr(problem))
        print(f"cannot run: {problem!r}")
        sys.exit(2)
    finally:
        record.close()
    for breach in breaches[:20]:
        print(breach)
    print(f"trouble: {TROUBLE}, breaches: {len(breaches)}")
    sys.exit(1 if breaches else 0)
