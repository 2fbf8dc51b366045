"""The steps of tools/demo: each measures something and says whether it is as promised."""

import sys
import tempfile
import threading
import time

from local_system import (
    CALLER_KEY,
    OPERATOR_KEY,
    LocalSystem,
    call,
    digest,
    stream,
    wait_until,
)

ZONES = ["hall-north", "hall-south", "hall-east"]
NEW_KEY = "gobabis-counter-key"
# 4 bytes are one token of the stand-in, so this is a prompt of 4,000 tokens.
PROMPT = "".join(f"Paper {number:04d} of a registration. " for number in range(500))
START_LIMIT = 20
STREAM_TOKENS = 120

TREE = f"""
defaults:
  models:
    - model: plates-7b
  services:
    - name: plates
      idempotent: false
      timeout: 10s
workspaces:
  head-office:
    teams:
      counter:
        keys:
          - {digest(CALLER_KEY)}
"""

NEW_WORKSPACE = f"""
workspaces:
  gobabis:
    teams:
      counter:
        keys:
          - {digest(NEW_KEY)}
"""


class Demo:
    def __init__(self, system):
        self.system = system
        self.rows = []
        self.service_port = 0
        self.first = None
        self.engines = []

    def start(self):
        system = self.system
        system.write_settings(TREE)
        for host in system.hosts:
            system.start_host(host)
        self.start_engines("engine-1", "engine-2")
        _, self.service_port = system.start_target("service", "plates-1", ZONES[0])
        system.start_target("store", "store-1", ZONES[0])

    def start_engines(self, *names):
        speed = ["--interval", "15ms", "--prefill", "20000"]
        self.engines = [
            self.system.start_target("engine", name, zone, *speed)[0]
            for name, zone in zip(names, ZONES)
        ]

    def kept_in_store(self):
        """Whether any host has had a prompt exported to the store."""
        for host in self.system.hosts:
            text = call(host.operators, "GET", "/metrics", key=OPERATOR_KEY).body.decode()
            if "damasklink_link_out_bytes_total{" in text:
                return True
        return False

    def serving(self, host):
        """Whether the host relays prompts and service calls, tried with calls that leave no mark."""
        if stream(host.callers, "ready?", 1, timeout=5).whole():
            return call(host.callers, "GET", "/services/plates/runs", timeout=5).status == 200
        return False

    def row(self, step, measured, promised, kept):
        self.rows.append((step, measured, promised, kept))
        print(f"  {'ok    ' if kept else 'FAILED'} {step}: {measured}", flush=True)

    def step_start(self):
        hosts = self.system.hosts
        took = wait_until(lambda: all(self.serving(host) for host in hosts), START_LIMIT)
        alive = all(process.alive() for process in self.system.processes)
        measured = "not serving" if took is None else f"serving after {took:.2f} s"
        measured += "" if alive else ", a process ended"
        promised = "three hosts, two engines, a service and a store serve"
        self.row("start", measured, promised, took is not None and alive)

    def step_first_token(self):
        self.first = stream(self.system.hosts[0].callers, PROMPT, 8)
        measured = "no whole answer"
        if self.first.whole():
            prompt = self.first.usage.get("prompt_tokens")
            measured = f"{self.first.first_token * 1000:.1f} ms, {prompt} tokens"
        self.row("first token of a prompt", measured, "a whole answer", self.first.whole())

    def step_returning(self):
        again = stream(self.system.hosts[1].callers, PROMPT, 8)
        kept = again.whole() and self.first.whole() and again.text == self.first.text
        reused = again.usage.get("prompt_tokens_details", {}).get("cached_tokens", 0)
        prompt = again.usage.get("prompt_tokens", 0)
        measured = "no whole answer"
        if kept:
            measured = f"{again.first_token * 1000:.1f} ms, {reused} of {prompt} tokens reused"
            kept = reused * 10 >= prompt * 9 and again.first_token < self.first.first_token
        self.row("the same prompt, by another host", measured, "reused and sooner", kept)

    def step_from_store(self):
        exported = wait_until(self.kept_in_store, 10)
        for engine in self.engines:
            engine.terminate()
            engine.wait(10)
        self.start_engines("engine-3", "engine-4")
        host = self.system.hosts[0]
        wait_until(lambda: self.serving(host), START_LIMIT)
        again = stream(host.callers, PROMPT, 8)
        reused = again.usage.get("prompt_tokens_details", {}).get("cached_tokens", 0)
        prompt = again.usage.get("prompt_tokens", 0)
        measured = f"exported: {exported is not None}, no whole answer"
        kept = again.whole() and exported is not None
        if kept:
            measured = f"{again.first_token * 1000:.1f} ms, {reused} of {prompt} tokens reused"
            kept = reused * 10 >= prompt * 9 and again.first_token < self.first.first_token
        self.row("the same prompt, both engines new", measured, "brought from the store", kept)

    def step_run_once(self):
        headers = {"Idempotency-Key": "plate-job-17"}
        body = '{"plate": "N 17-204 W"}'
        answers = [
            call(host.callers, "POST", "/services/plates/jobs", body, headers=headers)
            for host in self.system.hosts[:2]
        ]
        runs = call(self.service_port, "GET", "/runs").json().get(body, 0)
        statuses = [answer.status for answer in answers]
        same = answers[0].body == answers[1].body
        measured = f"statuses {statuses}, run {runs} times, same answer: {same}"
        kept = runs == 1 and statuses == [200, 200] and same
        self.row("one job sent twice with one key", measured, "run once, one answer", kept)

    def step_configuration(self):
        file = self.system.folder / "gobabis.yaml"
        file.write_text(NEW_WORKSPACE)
        started = time.monotonic()
        code, output = self.system.operator(["apply", file, "--wait", "10s"])
        took = time.monotonic() - started
        knows = [
            call(host.callers, "GET", "/v1/models", key=NEW_KEY).status == 200
            for host in self.system.hosts
        ]
        measured = f"exit code {code} after {took:.2f} s, in force on {sum(knows)} of {len(knows)}"
        if code != 0:
            measured += ": " + output.strip().splitlines()[0][:80]
        kept = code == 0 and all(knows)
        self.row("a configuration change", measured, "in force on all hosts", kept)

    def step_kill(self):
        lost, *others = self.system.hosts
        lost.process.kill()
        started = time.monotonic()
        # What the platform's balancer does: the next host when one does not answer.
        for host in [lost, *others]:
            answer = stream(host.callers, "after the loss", 4)
            if answer.whole():
                break
        measured = f"answered by {host.name} after {(time.monotonic() - started) * 1000:.0f} ms"
        kept = answer.whole() and host is not lost
        self.row("a host killed with kill -9", measured, "the next request answered", kept)

    def step_graceful_stop(self):
        leaving, staying = self.system.hosts[1:3]
        begun = threading.Event()
        results = []

        def read():
            results.append(
                stream(leaving.callers, "long", STREAM_TOKENS, on_text=lambda _: begun.set())
            )

        reader = threading.Thread(target=read)
        reader.start()
        begun.wait(10)
        leaving.process.terminate()
        refused = wait_until(lambda: not self.system.ready(leaving), 5) is not None
        reader.join(30)
        code = leaving.process.wait(20)
        whole = bool(results) and results[0].whole()
        tokens = len(results[0].text.split()) if results else 0
        other = stream(staying.callers, "meanwhile", 4).whole()
        measured = (
            f"{tokens} of {STREAM_TOKENS} tokens, whole: {whole}, exit code {code}, "
            f"another host answers: {other}"
        )
        kept = whole and tokens == STREAM_TOKENS and code == 0 and refused and other
        self.row("a graceful stop under a stream", measured, "no request cut", kept)

    def run(self):
        self.start()
        for step in (
            self.step_start,
            self.step_first_token,
            self.step_returning,
            self.step_from_store,
            self.step_run_once,
            self.step_configuration,
            self.step_kill,
            self.step_graceful_stop,
        ):
            step()

    def print_table(self):
        width = max(len(row[0]) for row in self.rows)
        promised = max(len(row[2]) for row in self.rows)
        print(f"\n{'step':{width}}  {'promised':{promised}}  kept  measured")
        for step, measured, promise, kept in self.rows:
            print(f"{step:{width}}  {promise:{promised}}  {'yes ' if kept else 'NO  '}  {measured}")


def main():
    started = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="damasklink-demo-") as folder:
        with LocalSystem(folder, int(sys.argv[1]), ZONES) as system:
            demo = Demo(system)
            demo.run()
            demo.print_table()
    failed = [row for row in demo.rows if not row[3]]
    print(f"{len(demo.rows)} steps, {len(failed)} failed, {time.monotonic() - started:.1f} s")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
