"""Callers of a fault run: they send without pause and keep what each request was told."""

import collections
import random
import threading
import time

from local_system import call, stream

ANSWER_TIMEOUT = 12
# How long a caller that may not lose its job tries again with the same key.
RETRY_LIMIT = 45
RETRY_PAUSE = 0.1
MODEL = "plates-7b"
MOST_PROMPT_BYTES = 4000
MOST_ANSWER_TOKENS = 24
# Prompts that return, out of the last ones that a caller sent.
SHARE_RETURNING = 0.4
MOST_EARLIER = 30


class Counts:
    """Counts by name, from any thread."""

    def __init__(self):
        self.lock = threading.Lock()
        self.values = collections.Counter()
        self.examples = collections.defaultdict(list)

    def add(self, name, example=None):
        with self.lock:
            self.values[name] += 1
            if example and len(self.examples[name]) < 3:
                self.examples[name].append(example)

    def __getitem__(self, name):
        with self.lock:
            return self.values[name]


class Caller(threading.Thread):
    """Sends until told to stop, or until it has sent `most` requests."""

    def __init__(self, number, system, workspace, counts, seed, most=None):
        super().__init__(daemon=True)
        self.number = number
        self.system = system
        self.workspace = workspace
        self.counts = counts
        self.random = random.Random(f"{seed}-{number}")
        self.most = most
        self.stopping = threading.Event()

    def run(self):
        sent = 0
        while not self.stopping.is_set() and (self.most is None or sent < self.most):
            self.send(sent)
            sent += 1

    def hosts_in_some_order(self):
        """As a balancer would: another host when one cannot be connected to."""
        return self.random.sample(self.system.hosts, len(self.system.hosts))


class PromptCaller(Caller):
    """Sends prompts, many of which return, and checks that each answer is whole and its own."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.earlier = []

    def choose_prompt(self, sent):
        if self.earlier and self.random.random() < SHARE_RETURNING:
            return self.random.choice(self.earlier)
        length = self.random.randrange(8, MOST_PROMPT_BYTES)
        prompt = f"{self.workspace.name} {self.number} {sent} ".ljust(length, "x")
        self.earlier = [*self.earlier[-MOST_EARLIER:], prompt]
        return prompt

    def send(self, sent):
        tokens = self.random.randrange(1, MOST_ANSWER_TOKENS)
        prompt = self.choose_prompt(sent)
        self.counts.add("prompt requests")
        for host in self.hosts_in_some_order():
            result = stream(
                host.callers, prompt, tokens, self.workspace.key, timeout=ANSWER_TIMEOUT
            )
            if result.connected:
                break
        self.judge(result, host, prompt, tokens)

    def judge(self, result, host, prompt, tokens):
        if result.whole():
            expected = "".join(f"t{index} " for index in range(tokens))
            own = result.usage.get("prompt_tokens") == (len(prompt) + 3) // 4
            if result.text == expected and own:
                self.counts.add("prompt whole")
                if result.usage.get("prompt_tokens_details", {}).get("cached_tokens", 0) > 0:
                    self.counts.add("prompt reused")
            else:
                self.counts.add("wrong answer", f"{result.text[:80]!r} {result.usage}")
            return
        if result.done:
            self.counts.add("wrong answer", f"end mark after {result.error}")
            return
        outcome = (result.error or {}).get("outcome", "")
        told = outcome or "lost"
        self.counts.add(f"prompt {told}", f"{host.name}: {result.error}")


class Job:
    """A call that must not run twice, and what its caller was told."""

    def __init__(self, body):
        self.body = body
        self.told = ""


class JobCaller(Caller):
    """Sends jobs under keys. Every other caller tries again with the same key until answered."""

    def __init__(self, number, system, workspace, counts, seed, most=None):
        super().__init__(number, system, workspace, counts, seed, most)
        self.jobs = []
        self.persistent = number % 2 == 0

    def send(self, sent):
        # Callers that try again use minted keys, the others keys of their own. Callers 1 and 3, 5
        # and 7 and so on are of two workspaces and use the same texts, so that keys mixed up
        # between workspaces would show.
        key = self.mint() if self.persistent else f"job-{self.number // 4}-{sent}"
        path = f"/jobs/{self.workspace.name}/{self.number}/{sent}"
        job = Job(f"{self.workspace.name} job {self.number} {sent}")
        self.jobs.append(job)
        self.counts.add("job requests")
        started = time.monotonic()
        while True:
            answer = self.try_once(key, path, job.body)
            done = answer.status == 200
            late = time.monotonic() - started > RETRY_LIMIT
            if done or not self.persistent or late or answer.outcome() == "may_have_run":
                break
            time.sleep(RETRY_PAUSE)
        self.judge(job, answer, path)
        if self.persistent and done:
            self.send_again(key, path, job, answer)

    def send_again(self, key, path, job, first):
        """As a caller does that lost the answer: it must get the same one, or none."""
        self.counts.add("job sent again")
        again = self.try_once(key, path, job.body)
        if again.status == 200 and again.body != first.body:
            self.counts.add("wrong answer", f"{job.body}: {first.body[:60]!r}, {again.body[:60]!r}")

    def mint(self):
        while True:
            for host in self.hosts_in_some_order():
                answer = call(host.callers, "POST", "/v1/keys", key=self.workspace.key, timeout=5)
                if answer.status == 200:
                    return answer.json()["key"]
            time.sleep(RETRY_PAUSE)

    def try_once(self, key, path, body):
        headers = {"Idempotency-Key": key}
        for host in self.hosts_in_some_order():
            answer = call(
                host.callers,
                "POST",
                f"/services/plates{path}",
                body,
                self.workspace.key,
                headers,
                ANSWER_TIMEOUT,
            )
            if answer.connected:
                break
        return answer

    def judge(self, job, answer, path):
        if answer.status == 200:
            job.told = "whole"
            if answer.json().get("path") != path:
                self.counts.add("wrong workspace or request", f"{path}: {answer.body[:120]!r}")
        else:
            job.told = answer.outcome() or "lost"
            # A caller that tried before cannot take "not run" for its earlier tries.
            if self.persistent and job.told == "not_run":
                job.told = "given up"
        self.counts.add(f"job {job.told}", answer.error)
