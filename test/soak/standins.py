"""Stand-ins for the targets of a serving deployment, and a proxy that breaks connections to them."""

import asyncio
import dataclasses
import json
import random
import socket
import struct

EVENTS = 12
HEALTH_PATH = "/healthz"
EVENT_PAUSE = 0.01
# A body that begins so ends each target that runs it, this long after it has begun.
CRASHING = b"crash"
CRASH_AFTER = 0.03
# How a target ends: it refuses connections, accepts and resets them, answers nothing, or is started again at once
# under its id or under another one.
ENDS = ("refuse", "reset", "dark", "restart", "reborn")
# Until a target that answers nothing is started again: hosts must have found it silent.
DARK_FOR = 9.0
RESTART_AFTER = 0.005
# Connections that fill an accept queue of length zero, with some to spare.
FILLERS = 3


@dataclasses.dataclass
class Exchange:
    """A request that reached a target, or an answer to it."""

    time: float
    # The target's id at that time.
    id: str
    request: str
    # The host that sent it, None where that host's process had ended or nobody asked.
    host: str | None = None
    # Seconds that the target asked for.
    rest: float = 0.0


async def read_head(reader):
    """Returns the first line and the fields, by lower-case name, of an HTTP message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def call(address, method, path, body, timeout):
    """Makes one call on a connection of its own. Returns status and body; status 0 without an answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            payload = body.encode()
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: c\r\nContent-Type: application/json\r\n"
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


def reset(writer):
    """Closes the connection so that the other side sees a reset, not an orderly end."""
    if writer.transport.is_closing():
        return
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class FaultProxy:
    """Passes connections on to one target, in the way that its mode says. Mode "pause" is that of pause()."""

    MODES = ("delay", "reset", "one_way", "silent")

    def __init__(self, target):
        self.target = target
        self.mode = "pass"
        self.going = asyncio.Event()
        self.going.set()
        self.fillers = []
        self.writers = set()
        # The writer towards the host by the address from which the target is reached for it.
        self.near = {}

    async def start(self, address):
        self.server = await asyncio.start_server(self.serve, address, 0)
        self.address = self.server.sockets[0].getsockname()[:2]

    def stop(self):
        """Ends as a process does: nobody listens, and all connections are reset."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def start_again(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    def pause(self):
        """Stands still as a process does that gets no processor: it reads nothing and accepts nothing."""
        self.mode = "pause"
        self.going.clear()
        # The copy still listens. Once its queue is full the kernel drops further connections.
        self.listener = self.server.sockets[0].dup()
        self.server.close()
        self.listener.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self.fillers.append(filler)

    async def go_on(self):
        """Ends a pause. Nothing that was sent meanwhile is lost."""
        fillers = [filler.getsockname() for filler in self.fillers]
        self.server = await asyncio.start_server(
            lambda reader, writer: self.serve_others(fillers, reader, writer), sock=self.listener
        )
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.mode = "pass"
        self.going.set()

    async def serve_others(self, fillers, reader, writer):
        if writer.get_extra_info("peername") in fillers:
            writer.close()
            return
        await self.serve(reader, writer)

    def set_mode(self, mode):
        self.mode = mode
        if mode == "reset":
            for writer in self.writers:
                writer.transport.abort()

    async def serve(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, far_writer}
        self.writers |= pair
        self.near[far_writer.get_extra_info("sockname")] = writer
        try:
            await asyncio.gather(
                self.pump(reader, far_writer, writer, towards=True),
                self.pump(far_reader, writer, writer, towards=False),
            )
        except asyncio.CancelledError:
            # The run is over; the server would print a trace of each connection that is open yet.
            return
        self.writers -= pair
        del self.near[far_writer.get_extra_info("sockname")]

    def drops(self, near, towards):
        """Returns whether bytes of the connection whose near side is this writer are dropped."""
        return self.mode == "silent" or (self.mode == "one_way" and not towards)

    async def pump(self, reader, writer, near, towards):
        try:
            while data := await reader.read(16384):
                await self.going.wait()
                if self.drops(near, towards):
                    continue
                if self.mode == "delay":
                    await asyncio.sleep(0.15)
                writer.write(data)
                await writer.drain()
        except ConnectionResetError:
            await self.going.wait()
            reset(writer)
        except OSError:
            pass
        await self.going.wait()
        writer.close()


class Target:
    """A service that counts what it runs. A new life of it has a new id at the same address."""

    def __init__(self, service, zone, ledger, controls, seed):
        self.service = service
        self.zone = zone
        self.ledger = ledger
        self.controls = controls
        self.random = random.Random(seed)
        self.life = 0
        self.sequence = 0
        self.state = "ready"
        # When and with which body a crashing request arrived, and when one ended this target.
        self.crashing_arrivals = []
        # Requests a second that it names in its answers, None for none, and when requests came.
        self.limit = None
        self.arrivals = []
        # While it rejects all requests it asks for this rest in seconds, None for none.
        self.rejecting = False
        self.rest = None
        # Its answers say that it leaves.
        self.leaving = False
        # Finds the name of the host at the other end of a connection to the proxy, where a run needs it.
        self.host_at = None
        self.requests = []
        self.rejections = []
        self.leaving_answers = []
        self.end = "refuse"
        self.cold_until = 0.0
        # Unix milliseconds of its start, where it tells of it: then it keeps its id.
        self.born = None
        self.crashes = []

    async def start(self, address):
        server = await asyncio.start_server(self.serve, address, 0)
        self.proxy = FaultProxy(server.sockets[0].getsockname()[:2])
        await self.proxy.start(address)
        self.server = server

    @property
    def id(self):
        return f"i-{self.service}-{self.proxy.address[1]}-{self.life}"

    def restart(self):
        self.life += 1
        self.sequence = 0
        self.state = "ready"
        self.leaving = False

    async def crash(self, body):
        await asyncio.sleep(CRASH_AFTER)
        if self.state == "crashed":
            return
        self.state = "crashed"
        self.crashes.append((asyncio.get_running_loop().time(), body))
        if self.end == "reset":
            self.proxy.set_mode("reset")
            await asyncio.sleep(self.random.uniform(1, 2))
            self.proxy.set_mode("pass")
        elif self.end == "dark":
            self.proxy.set_mode("silent")
            await asyncio.sleep(DARK_FOR)
            self.proxy.set_mode("reset")
            self.proxy.set_mode("pass")
        else:
            self.proxy.stop()
            await asyncio.sleep(self.random.uniform(1, 2) if self.end == "refuse" else RESTART_AFTER)
            await self.proxy.start_again()
        if self.born is not None:
            self.born += 1
            self.sequence = 0
            self.state = "ready"
        else:
            self.restart()

    def announcement(self):
        return ({} if self.born is None else {"born": self.born}) | {
            "service": self.service,
            "address": f"{self.proxy.address[0]}:{self.proxy.address[1]}",
            "zone": self.zone,
            "slots": 16,
            "cold-remaining-ms": max(0, int(1000 * (self.cold_until - asyncio.get_running_loop().time()))),
            "state": self.state,
            "models": [],
            "sequence": self.sequence,
        }

    async def announce(self):
        while True:
            if self.state == "crashed" or self.proxy.mode == "pause":
                await asyncio.sleep(0.05)
                continue
            self.sequence += 1
            # Kept with the body: the target may start anew while it looks for a control host that answers.
            path = f"/-/instances/{self.id}"
            body = json.dumps(self.announcement())
            for control in self.random.sample(self.controls, len(self.controls)):
                status, _ = await call(control, "PUT", path, body, 1)
                if status == 200:
                    break
            await asyncio.sleep(0.4)

    def sender(self, writer):
        """Returns the name of the host whose requests come on a connection from the proxy, None if not known."""
        near = self.proxy.near.get(writer.get_extra_info("peername"))
        return self.host_at(near) if self.host_at is not None and near is not None else None

    async def serve(self, reader, writer):
        host = None
        try:
            while True:
                first, fields = await read_head(reader)
                host = host or self.sender(writer)
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                await self.answer(first.split()[1], fields, body, host, writer)
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The run is over, as in FaultProxy.serve().
            return
        finally:
            writer.close()

    async def answer(self, path, fields, body, host, writer):
        if path == HEALTH_PATH:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return
        request = fields["x-request-id"]
        echo = f"X-Request-Id: {request}\r\n"
        if fields.get("x-target-instance", self.id) != self.id:
            writer.write(
                f"HTTP/1.1 421 Other\r\n{echo}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode()
            )
            return
        now = asyncio.get_running_loop().time()
        self.arrivals.append(now)
        self.requests.append(Exchange(now, self.id, request, host))
        if self.limit is not None:
            echo += f"Server-Limit: {self.limit}\r\n"
        if self.leaving:
            echo += "Server-Leaving: 1\r\n"
            self.leaving_answers.append(Exchange(now, self.id, request, host))
        if self.rejecting:
            self.reject(request, echo, host, writer)
            return
        self.ledger[request] = self.ledger.get(request, 0) + 1
        if body.startswith(CRASHING):
            self.crashing_arrivals.append((asyncio.get_running_loop().time(), body))
            self.crashing = asyncio.create_task(self.crash(body))
            # Its answer begins and has no event, so that the caller is still there when it breaks off.
            self.begin_stream(echo, writer)
            return
        echo += "X-Response-Stamp: " + self.id + "\r\n"
        if path.startswith("/streams"):
            await self.stream(request, int(fields.get("last-event-id", "0")), echo, writer)
            return
        await asyncio.sleep(self.random.uniform(0.005, 0.04))
        body = f"{request}{path}"
        writer.write(f"HTTP/1.1 200 OK\r\n{echo}Content-Length: {len(body)}\r\n\r\n{body}".encode())

    def reject(self, request, echo, host, writer):
        if self.rest is not None:
            echo += f"Retry-After: {self.rest}\r\n"
            now = asyncio.get_running_loop().time()
            self.rejections.append(Exchange(now, self.id, request, host, self.rest))
        writer.write(
            f"HTTP/1.1 503 Busy\r\n{echo}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode()
        )

    def begin_stream(self, echo, writer):
        writer.write(
            f"HTTP/1.1 200 OK\r\n{echo}Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )

    async def stream(self, request, last, echo, writer):
        self.begin_stream(echo, writer)
        for number in range(last + 1, EVENTS + 1):
            event = f"id: {number}\ndata: {request}-{number}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
            await asyncio.sleep(EVENT_PAUSE)
        writer.write(b"0\r\n\r\n")
