"""A damasklink system of separate processes on loopback, for tools/demo, tools/faults and benches.

Standard library only. Each process that is started here is ended here, by its id.
"""

import hashlib
import http.client
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
OPERATOR_KEY = "operator-key"
TARGET_KEY = "target-key"
CALLER_KEY = "counter-key"
PORTS_PER_HOST = 10
# Targets listen this far above the base port.
TARGET_OFFSET = 500
PORTS_PER_SYSTEM = 700


def digest(key):
    return hashlib.sha256(key.encode()).hexdigest()


class Process:
    """One child process; its output goes to a file of its own."""

    def __init__(self, name, words, folder, environment=None):
        self.name = name
        self.log = folder / f"{name}.log"
        self.paused = False
        with open(self.log, "ab") as output:
            self.child = subprocess.Popen(
                [str(word) for word in words],
                stdout=output,
                stderr=output,
                stdin=subprocess.DEVNULL,
                env={**os.environ, **(environment or {})},
            )

    def alive(self):
        return self.child.poll() is None

    def kill(self):
        """Ends it at once, as a lost host would."""
        self.child.kill()
        self.child.wait()

    def terminate(self):
        """Asks it to stop; returns at once."""
        self.child.send_signal(signal.SIGTERM)

    def pause(self):
        self.paused = True
        self.child.send_signal(signal.SIGSTOP)

    def resume(self):
        self.paused = False
        self.child.send_signal(signal.SIGCONT)

    def wait(self, seconds):
        """Returns the exit code, or None when it still runs after that time."""
        try:
            return self.child.wait(timeout=seconds)
        except subprocess.TimeoutExpired:
            return None

    def close(self):
        if self.alive():
            self.kill()


class Host:
    """Where one host of the system listens, and its process while it runs."""

    def __init__(self, name, zone, base_port, disk):
        self.name = name
        self.zone = zone
        self.disk = disk
        self.callers = base_port + 1
        self.operators = base_port + 2
        self.targets = base_port + 3
        self.peers = base_port + 4
        self.process = None

    def running(self):
        return self.process is not None and self.process.alive()


class Answer:
    """An answer read whole. `status` is 0 when there was none; `error` then says why."""

    def __init__(self, status=0, body=b"", error="", connected=True):
        self.status = status
        self.body = body
        self.error = error
        # Whether the connection came to be at all.
        self.connected = connected

    def json(self):
        try:
            return json.loads(self.body)
        except ValueError:
            return {}

    def outcome(self):
        """The `outcome` of an error body, empty when there is none."""
        error = self.json()
        error = error.get("error") if isinstance(error, dict) else None
        return error.get("outcome", "") if isinstance(error, dict) else ""


def call(port, method, path, body=None, key=CALLER_KEY, headers=None, timeout=30):
    """Makes one call on loopback and reads the whole answer. Never raises for the network."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.connect()
    except OSError as error:
        return Answer(error=str(error), connected=False)
    try:
        payload = json.dumps(body) if isinstance(body, (dict, list)) else body
        connection.request(
            method,
            path,
            payload,
            {
                "Authorization": f"Bearer {key}",
                "Content-Type": "application/json",
                **(headers or {}),
            },
        )
        response = connection.getresponse()
        return Answer(response.status, response.read())
    except (OSError, http.client.HTTPException) as error:
        return Answer(error=str(error) or type(error).__name__)
    finally:
        connection.close()


class StreamResult:
    """A streamed answer: its text, times and whether its end mark came."""

    def __init__(self):
        self.status = 0
        self.text = ""
        self.done = False
        self.error = None
        self.first_token = None
        self.usage = {}
        self.connected = False

    def whole(self):
        return self.status == 200 and self.done and self.error is None


def take_event(result, data, started):
    if data == "[DONE]":
        result.done = True
        return
    event = json.loads(data)
    if "error" in event:
        result.error = event["error"]
        return
    result.usage = event.get("usage") or result.usage
    text = "".join(choice.get("text", "") for choice in event.get("choices", []))
    if text and result.first_token is None:
        result.first_token = time.monotonic() - started
    result.text += text


def stream(port, prompt, max_tokens, key=CALLER_KEY, model="plates-7b", timeout=30, on_text=None):
    """Sends a prompt and reads its answer event by event. Never raises for the network."""
    result = StreamResult()
    started = time.monotonic()
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    body = {"model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": True}
    headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
    try:
        connection.connect()
        result.connected = True
        connection.request("POST", "/v1/completions", json.dumps(body), headers)
        response = connection.getresponse()
        result.status = response.status
        if response.status != 200:
            result.error = json.loads(response.read()).get("error")
            return result
        while not result.done and result.error is None:
            line = response.readline()
            if not line:
                break
            if line.startswith(b"data: "):
                take_event(result, line[6:].strip().decode(), started)
                if on_text and result.text:
                    on_text(result)
    except (OSError, http.client.HTTPException, ValueError) as error:
        result.error = {"message": str(error) or type(error).__name__}
    finally:
        connection.close()
    return result


class LocalSystem:
    """Hosts, targets and their files below one folder."""

    def __init__(self, folder, base_port, zones, hosts_per_zone=1, disks_per_zone=1, build=None):
        self.folder = pathlib.Path(folder)
        self.base_port = base_port
        self.build = pathlib.Path(build or ROOT / "build")
        self.processes = []
        self.hosts = []
        self.next_target_port = base_port + TARGET_OFFSET
        for zone in zones:
            for number in range(1, hosts_per_zone + 1):
                port = base_port + PORTS_PER_HOST * len(self.hosts)
                name = f"{zone}-{number}"
                self.hosts.append(Host(name, zone, port, number <= disks_per_zone))

    def __enter__(self):
        # So that an asked-for end takes the child processes along.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
        return self

    def __exit__(self, *_):
        self.close()

    def close(self):
        for process in self.processes:
            process.close()

    def host(self, name):
        return next(host for host in self.hosts if host.name == name)

    def data_folder(self, host):
        return self.folder / host.name / "data"

    def write_settings(self, tree, peers_of=None, extra=""):
        """Writes the settings of every host. `peers_of(host, peer)` may name another peer port."""
        tree_file = self.folder / "tree.yaml"
        tree_file.write_text(tree)
        for host in self.hosts:
            folder = self.folder / host.name
            folder.mkdir(parents=True, exist_ok=True)
            lines = [f"host: {host.name}", f"zone: {host.zone}", "listen:"]
            for kind in ("callers", "operators", "targets", "peers"):
                lines.append(f"  {kind}: 127.0.0.1:{getattr(host, kind)}")
            if host.disk:
                self.data_folder(host).mkdir(exist_ok=True)
                lines.append(f"data_folder: {self.data_folder(host)}")
            lines.append(f"initial_tree: {tree_file}")
            lines.append(f"operator_keys: [{digest(OPERATOR_KEY)}]")
            lines.append(f"target_keys: [{digest(TARGET_KEY)}]")
            lines.append("peers:")
            for peer in self.hosts:
                port = peers_of(host, peer) if peers_of else peer.peers
                lines.append(f"  - host: {peer.name}\n    zone: {peer.zone}")
                lines.append(f"    peers: 127.0.0.1:{port}")
                lines.append(f"    operators: 127.0.0.1:{peer.operators}")
                lines.append(f"    disk: {'true' if peer.disk else 'false'}")
            (folder / "host.yaml").write_text("\n".join(lines) + "\n" + extra)

    def start(self, name, words, environment=None):
        process = Process(name, words, self.folder, environment)
        self.processes.append(process)
        return process

    def start_host(self, host):
        settings = self.folder / host.name / "host.yaml"
        words = [self.build / "damasklink", "serve", "--settings", settings]
        host.process = self.start(host.name, words)

    def start_target(self, kind, name, zone, *options):
        """Starts a stand-in that announces itself in its zone first; returns (process, port)."""
        port = self.next_target_port
        self.next_target_port += 1
        hosts = sorted(self.hosts, key=lambda host: host.zone != zone)
        announce = ",".join(f"127.0.0.1:{host.targets}" for host in hosts)
        words = [self.build / "damasklink-standin", kind, "--id", name, "--zone", zone]
        words += ["--listen", f"127.0.0.1:{port}", "--announce", announce, "--key", TARGET_KEY]
        return self.start(name, words + list(options)), port

    def operator(self, words, hosts=None, timeout=30):
        """Runs an operators' command; returns (exit code, output)."""
        command = [str(self.build / "damasklink"), *map(str, words)]
        for host in hosts or self.hosts:
            command += ["--host", f"127.0.0.1:{host.operators}"]
        done = subprocess.run(
            command,
            capture_output=True,
            text=True,
            timeout=timeout,
            check=False,
            env={**os.environ, "DAMASKLINK_OPERATOR_KEY": OPERATOR_KEY},
        )
        return done.returncode, done.stdout + done.stderr

    def ready(self, host):
        return call(host.operators, "GET", "/readyz", timeout=1).status == 200


def listen_on(port):
    """Returns a listening socket, or None when somebody holds the port."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind(("127.0.0.1", port))
        listener.listen()
    except OSError:
        listener.close()
        return None
    return listener


def is_free(port):
    listener = listen_on(port)
    if listener:
        listener.close()
    return listener is not None


def hold_free_ports():
    """Returns a base whose ports are free, below those that the kernel hands out by itself, and a
    socket on the base itself: while it is open, other runs leave the range alone."""
    for base in random.sample(range(20000, 32000, PORTS_PER_SYSTEM), 15):
        guard = listen_on(base)
        if guard is None:
            continue
        if all(is_free(base + offset) for offset in range(1, PORTS_PER_SYSTEM)):
            return base, guard
        guard.close()
    raise RuntimeError("no free range of ports; end other runs first")


def wait_until(question, seconds, pause=0.02):
    """Asks until the answer is true; returns the seconds that took, or None when time is over."""
    started = time.monotonic()
    while time.monotonic() - started < seconds:
        if question():
            return time.monotonic() - started
        time.sleep(pause)
    return None
