"""A tenant becomes isolated by a change of the configuration. What replicas hold of its prompts from before
must not serve another tenant afterwards."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness
from harness import CONFIG_APPLY, TROUBLE, Channel, Replica, System

ENGINES = 3
DOCUMENTS = 8
DOCUMENT_TOKENS = 4000
QUESTION_TOKENS = 50
EVENTS = 3
MODEL = "model-one"


class Engine(Replica):
    """A sound model replica. Holds the parts of the prompts that it has read, by salt and id."""

    def __init__(self, system, number, service_name, isolated, breaches):
        super().__init__(system, number, service_name)
        self.isolated = isolated
        self.breaches = breaches
        # (salt, part) -> the tenant whose request made it.
        self.held = {}

    def announcement(self):
        return super().announcement() | {"models": [{"name": MODEL, "version": 1, "adapters": []}]}

    async def answer(self, method, path, fields, body, writer, channel):
        if path == "/-/report":
            report = (
                '{"stage":"unified","models":[{"name":"%s","version":1,"adapters":[]}],"busy":false,'
                '"sequence":0,"queued":0,"running":0,"kv-used":0,"kv-total":200000,"handles":0}' % MODEL
            )
            self.write(writer, 200, "Content-Type: application/json\r\n", report.encode())
            return
        channel["fields"] = fields
        await super().answer(method, path, fields, body, writer, channel)

    def use_parts(self, request, fields):
        tenant = fields.get("x-tenant", "")
        salt = fields.get("x-cache-salt", "")
        leading = True
        for item in fields.get("x-prompt-prefix", "").split(","):
            part = item.split(":")[0]
            maker = self.held.get((salt, part)) if leading else None
            if maker is None:
                leading = False
                self.held[salt, part] = tenant
                self.record.add("part_read", request=request, replica=self.id, tenant=tenant, salt=salt, part=part)
                continue
            self.record.add("part_used", request=request, replica=self.id, tenant=tenant, salt=salt, part=part, maker=maker)
            if maker != tenant and self.isolated & {maker, tenant}:
                self.breaches.append(f"WALL: {request} of {tenant} used part {part} that {maker} made, salt {salt}")

    async def run(self, method, path, fields, request, echo, writer, channel):
        self.use_parts(request, fields)
        head = (
            f"HTTP/1.1 200 OK\r\n{echo}X-Response-Stamp: {self.stamp(request)}\r\nX-Weight-Versions: 1\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(0.01)
            event = f"id: {number}\ndata: {request}-{number}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
        writer.write(b"0\r\n\r\n")


def config(version, isolated):
    return {
        "version": version,
        "routes": [harness.route("ask", "streaming", "lm", sticky=True, **{"gap-aim-ms": 300})],
        "services": [
            harness.service(
                "lm",
                engine={
                    "slots": 16,
                    "kv-capacity": 200000,
                    "kv-token-bytes": 35136,
                    "link-mbps": 1100000.0,
                    "models": [{"name": MODEL}],
                },
            )
        ],
        "limits": harness.LIMITS,
        "tenants": [
            {"name": "tenant-one", "api-keys": ["key-one"], "priority": 1, "isolated": isolated},
            {"name": "tenant-two", "api-keys": ["key-two"], "priority": 1},
        ],
    }


async def ask_about_documents(system, name, key, rounds):
    """Sends questions about all documents through all entry hosts. Returns how many were answered."""
    served = 0
    channels = [Channel(host) for host in system.entries]
    for count in range(rounds):
        for document in range(DOCUMENTS):
            request = f"{name}-{count}-{document}"
            channel = channels[(count + document) % len(channels)]
            prompt = f"d0c{document:x}:{DOCUMENT_TOKENS},{count:x}{document:x}{name.encode().hex()}:{QUESTION_TOKENS}"
            status, fields, _ = await channel.ask(
                "POST",
                "/ask/7",
                {
                    "X-Request-Id": request,
                    "X-Deadline-Ms": 4000,
                    "X-Credential": key,
                    "X-Model": MODEL,
                    "X-Token-Usage": f"{DOCUMENT_TOKENS + QUESTION_TOKENS},{EVENTS}",
                    "X-Prompt-Prefix": prompt,
                },
                b"question",
            )
            system.record.add("answer", request=request, status=status, stamp=fields.get("x-response-stamp", ""))
            served += status == 200
    for channel in channels:
        channel.close()
    return served


async def case(record):
    system = System(record)
    engines = []
    isolated = set()
    breaches = []
    try:
        await system.start(config(1, isolated=False))
        for number in range(ENGINES):
            engines.append(Engine(system, number, "lm", isolated, breaches))
            await engines[-1].start()
        await system.await_ready()
        await asyncio.sleep(2.5)
        before = await ask_about_documents(system, "one-before", "key-one", 6)
        if TROUBLE:
            await system.put_config(config(2, isolated=True))
        else:
            record.add("no_trouble")
        # Twice the time within which a change is in force, and no request is under way meanwhile.
        await asyncio.sleep(2 * CONFIG_APPLY)
        if TROUBLE:
            isolated.add("tenant-one")
        two = await ask_about_documents(system, "two-after", "key-two", 3)
        one = await ask_about_documents(system, "one-after", "key-one", 3)
        if not before or not two or not one:
            raise harness.CannotRun("requests were not served")
        record.add("summary", before=before, two=two, one=one, breaches=len(breaches))
        print(f"served: {before} before, then {two} of tenant-two and {one} of tenant-one")
        return breaches
    finally:
        for engine in engines:
            engine.stop()
        system.close()


harness.run_case(pathlib.Path(__file__).resolve().parent, case)
