"""Many users come at once, with bodies that the limits of the configuration allow. An entry host must not use more
memory than its machine has: the platform then kills the process, and all requests that it holds end without an answer."""

import asyncio
import collections
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness
from harness import TROUBLE, Channel, NoAnswer, Replica, System

REPLICAS = 3
# Steady consumers of each entry host, and those that come beside them in the burst.
STEADY = 18
BURST = 1.7
BURST_S = 3.0
# How long a consumer takes for a request. Those of the burst begin spread over this time, and one whose request ended
# without an answer waits as long, so that no more requests come than the burst allows.
CYCLE_S = 0.6
CALM_S = 5.0
BODY = b"x" * 4_000_000
assert len(BODY) <= harness.LIMITS["max-body-bytes"]
# LOST allows three such requests to a machine.
ALLOWED_LOSSES = 3


class UploadReplica(Replica):
    slots = 64
    work_s = 0.4

    def content(self, request, path):
        return request.encode()


class Run:
    def __init__(self, system):
        self.system = system
        self.counts = collections.Counter()
        # Requests sent on kept channels that ended without an answer, by entry host.
        self.unanswered = collections.defaultdict(list)

    async def consumer(self, host, name, end, delay=0.0):
        await asyncio.sleep(delay)
        channel = Channel(host)
        kept = False
        count = 0
        while time.monotonic() < end:
            count += 1
            request = f"{name}-{count}"
            fields = {"X-Request-Id": request, "X-Deadline-Ms": 10000, "X-Credential": "key-one"}
            try:
                async with asyncio.timeout(12):
                    status, _, _ = await channel.ask("POST", "/uploads/7", fields, BODY)
                self.counts[status] += 1
                self.system.record.add("answer", request=request, status=status)
                kept = channel.writer is not None
            except (OSError, EOFError, TimeoutError, asyncio.IncompleteReadError, NoAnswer) as problem:
                self.counts["without answer"] += 1
                self.system.record.add("no_answer", request=request, host=host.name, kept=kept, problem=repr(problem))
                if kept:
                    self.unanswered[host.name].append(request)
                channel.close()
                kept = False
                await asyncio.sleep(CYCLE_S)
            await asyncio.sleep(0.02)
        channel.close()


async def case(record):
    system = System(record)
    replicas = []
    watching = []
    ends = []
    try:
        await system.start(
            {
                "version": 1,
                "routes": [harness.route("uploads", "non_idempotent", "app", **{"timeout-ms": 10000})],
                "services": [harness.service("app")],
                "limits": harness.LIMITS,
                "tenants": [{"name": "tenant-one", "api-keys": ["key-one"], "priority": 1}],
            }
        )
        for number in range(REPLICAS):
            replicas.append(UploadReplica(system, number, "app"))
            await replicas[-1].start()
        await system.await_ready()
        await asyncio.sleep(2.5)
        hosts = system.controls + system.entries
        watching = [asyncio.create_task(host.hold_to_memory(ends)) for host in hosts]
        run = Run(system)
        end = time.monotonic() + 2 * CALM_S + BURST_S
        consumers = [
            asyncio.create_task(run.consumer(host, f"{host.name}-s{number}", end))
            for host in system.entries
            for number in range(STEADY)
        ]
        await asyncio.sleep(CALM_S)
        before = {host.name: round(host.used_mb()) for host in system.entries}
        record.add("burst_begins" if TROUBLE else "no_trouble", used_mb=before)
        if TROUBLE:
            more = int(STEADY * (BURST - 1))
            consumers += [
                asyncio.create_task(
                    run.consumer(host, f"{host.name}-b{number}", time.monotonic() + BURST_S, CYCLE_S * number / more)
                )
                for host in system.entries
                for number in range(more)
            ]
        await asyncio.gather(*consumers)
        if not run.counts[200]:
            raise harness.CannotRun("no request was answered")
        ran = {request for replica in replicas for request in replica.runs}
        breaches = []
        for host, requests in run.unanswered.items():
            lost = [request for request in requests if request in ran]
            # The process ended by itself, so its machine counts as running all the while.
            if host in ends and len(lost) > ALLOWED_LOSSES:
                breaches.append(f"LOST: {host} passed {len(lost)} requests of kept channels on and gave no answer")
        record.add("summary", counts=dict(run.counts), ends=ends, breaches=len(breaches))
        print(f"memory before: {before} MB; answers: {dict(run.counts)}; killed for memory: {ends}")
        return breaches
    finally:
        for task in watching:
            task.cancel()
        for replica in replicas:
            replica.stop()
        system.close()


harness.run_case(pathlib.Path(__file__).resolve().parent, case)
