"""A replica runs orders and answers some of them with 503, without X-Not-Executed."""

import asyncio
import pathlib
import random
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness_2 as harness  # noqa: E402

# The share of its requests that the grey replica fails: the default dose of srv_grey.
SHARE = 0.4
SECONDS = 15.0
PER_SECOND = 20


class GreyReplica(harness.Replica):
    """Fails a share of its requests after it has run them; its health answers stay good."""

    async def run(self, request, method, path, fields, body, writer):
        self.count_run(request)
        await asyncio.sleep(0.015)
        if harness.TROUBLE and random.random() < SHARE:
            # As X-Not-Executed is missing, this doesn't say that the request has not run.
            self.answer(writer, 503, request, b"the order was taken, its confirmation failed")
        else:
            self.answer(writer, 200, request, b"done " + request.encode())


async def case(deployment):
    deployment.replicas = [GreyReplica(deployment, "order-app", 0)]
    deployment.replicas += [harness.Replica(deployment, "order-app", number) for number in (1, 2)]
    config = deployment.config(
        7, [deployment.route("order", "non_idempotent", "order-app")], [deployment.service("order-app")]
    )
    await deployment.start(config)
    await asyncio.sleep(2.5)
    answers = {}

    async def consume(entry):
        request = deployment.next_id("order")
        answers[request] = (await deployment.ask(entry, "order", request))[0]

    tasks = []
    for number in range(int(SECONDS * PER_SECOND)):
        tasks.append(asyncio.create_task(consume(deployment.entries[number % len(deployment.entries)])))
        await asyncio.sleep(1 / PER_SECOND)
    await asyncio.gather(*tasks)
    if sum(status == 200 for status in answers.values()) < len(answers) / 3:
        raise harness.CannotRun("too few requests were served")
    ran = {request for replica in deployment.replicas for _, request in replica.ran}
    return [
        f"REFUSED: {request} is not idempotent, has run, and was answered {status}"
        for request, status in answers.items()
        if status in harness.PROMISES and request in ran
    ]


harness.play(__file__, case)
