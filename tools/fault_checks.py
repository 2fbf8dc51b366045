"""What is held against the callers' and operators' records of a fault run."""

import json
import re
import threading
import time

from local_system import OPERATOR_KEY, call

STATUS_PAUSE = 0.1


def runs_of(ports):
    """Adds up how often each body was run at the service stand-ins."""
    runs = {}
    for port in ports:
        for body, count in call(port, "GET", "/runs").json().items():
            runs[body] = runs.get(body, 0) + count
    return runs


def check_jobs(jobs, runs, counts):
    """Holds what callers were told against what ran."""
    for job in jobs:
        ran = runs.get(job.body, 0)
        if ran > 1:
            counts.add("ran twice", f"{job.body}: {ran} times, told {job.told}")
        if job.told == "not_run" and ran > 0:
            counts.add("told not run but ran", job.body)
        if job.told == "whole" and ran == 0:
            counts.add("told whole but never ran", job.body)


class RevisionWatch(threading.Thread):
    """Asks every ready host for its revision, and counts each that went back."""

    def __init__(self, system, counts):
        super().__init__(daemon=True)
        self.system = system
        self.counts = counts
        self.highest = {}
        self.stopping = threading.Event()

    def run(self):
        while not self.stopping.is_set():
            for host in self.system.hosts:
                self.look(host)
            time.sleep(STATUS_PAUSE)

    def look(self, host):
        if not host.running() or host.process.paused:
            return
        # A host that has just started has asked its peers by the time it says that it is ready.
        if call(host.operators, "GET", "/readyz", timeout=2).status != 200:
            return
        revision = revision_of(host)
        if revision is None:
            return
        before = self.highest.get(host.name, 0)
        if revision < before:
            self.counts.add("configuration reverted", f"{host.name}: {before} to {revision}")
        self.highest[host.name] = max(before, revision)


def revision_of(host):
    answer = call(host.operators, "GET", "/v1/config/status", key=OPERATOR_KEY, timeout=2)
    if answer.status != 200:
        return None
    return answer.json().get("revision")


class Operators:
    """Two operators who change one subtree at the same time, made from equal versions."""

    def __init__(self, system, counts):
        self.system = system
        self.counts = counts
        self.number = 0
        # Content of the newest change that was accepted, by revision.
        self.accepted = {}
        self.lock = threading.Lock()

    def race(self):
        racers = [threading.Thread(target=self.apply) for _ in range(2)]
        for racer in racers:
            racer.start()
        for racer in racers:
            racer.join()

    def apply(self):
        with self.lock:
            self.number += 1
            number = self.number
        file = self.system.folder / f"probe-{number}.yaml"
        file.write_text(
            f"workspaces:\n  probe:\n    limits:\n      requests_per_second: {number + 1000}\n"
        )
        code, output = self.system.operator(["apply", file, "--output", "json"], timeout=60)
        self.counts.add("changes sent")
        accepted = self.read_accepted(output) if code == 0 else None
        if accepted is None:
            self.counts.add("changes refused", output.strip()[:120])
            return
        self.counts.add("changes accepted")
        with self.lock:
            if accepted in self.accepted:
                self.counts.add("configuration reverted", f"revision {accepted} given twice")
            self.accepted[accepted] = number + 1000

    @staticmethod
    def read_accepted(output):
        for line in output.splitlines():
            try:
                outcome = json.loads(line)
            except ValueError:
                continue
            if outcome.get("outcome") == "accepted":
                return outcome.get("revision")
        return None

    def in_force(self, host):
        """Whether the newest accepted change is what the host has in force."""
        if not self.accepted:
            return True
        newest = max(self.accepted)
        revision = revision_of(host)
        if revision is None or revision < newest:
            return False
        code, output = self.system.operator(["get", "workspaces/probe"], [host])
        found = re.search(r"requests_per_second: (\d+)", output)
        return code == 0 and found and int(found.group(1)) == self.accepted[newest]
