"""A replica signs off and is acknowledged; then the control processes and some entry processes are killed."""

import asyncio
import pathlib
import random
import signal
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness_2 as harness  # noqa: E402

# Half of the processes: all 3 of the core and 2 of 7 entry hosts.
ENTRIES = 7
KILLED_ENTRIES = 2
# When things happen, in seconds after the acknowledgement of the departure.
KILL_AFTER = 0.3
DOWN = 0.5
LATE_PING_AFTER = 3.0
# Until then the replica serves on: "a little longer (at times many seconds)".
LINGERS = 12.0
PER_SECOND = 40
CONTACT = harness.BOUNDS["contact-ms"] / 1000
DRAIN = harness.BOUNDS["drain-ms"] / 1000


async def case(deployment):
    deployment.replicas = [harness.Replica(deployment, "order-app", number) for number in range(3)]
    leaver = deployment.replicas[0]
    record = deployment.record
    config = deployment.config(
        7, [deployment.route("order", "idempotent", "order-app", attempts=2)], [deployment.service("order-app")]
    )
    await deployment.start(config)
    await asyncio.sleep(CONTACT + 1)

    ending = False
    statuses = []

    async def consume(entry):
        status, _, _ = await deployment.ask(entry, "order", deployment.next_id("order"))
        statuses.append(status)

    async def traffic():
        tasks = []
        while not ending:
            tasks.append(asyncio.create_task(consume(random.choice(deployment.entries))))
            await asyncio.sleep(1 / PER_SECOND)
        await asyncio.gather(*tasks)

    consumers = asyncio.create_task(traffic())
    await asyncio.sleep(1)
    # The ping that arrives late is sent before the departure, and has the lower sequence.
    leaver.pinging.cancel()
    late_ping = leaver.ping()
    host = await leaver.say("DELETE", b"")
    if host is None:
        raise harness.CannotRun("the departure was not acknowledged")
    gone_at = record.now()
    record.add(leaver.id, f"its DELETE is acknowledged by {host.name}")
    await asyncio.sleep(KILL_AFTER)
    if harness.TROUBLE:
        killed = deployment.controls + random.sample(deployment.entries, KILLED_ENTRIES)
        for process in killed:
            process.signal(signal.SIGKILL)
        for process in killed:
            await process.ended()
        await asyncio.sleep(DOWN)
        for process in killed:
            process.start()
    await asyncio.sleep(gone_at + LATE_PING_AFTER - record.now())
    heard_by = await leaver.say("PUT", late_ping)
    record.add(leaver.id, f"its late ping {leaver.sequence} arrives at {heard_by.name if heard_by else 'nobody'}")
    await asyncio.sleep(gone_at + LINGERS - record.now())
    leaver.server.close()
    ending = True
    await consumers
    if sum(status == 200 for status in statuses) < len(statuses) / 2:
        raise harness.CannotRun("too few requests were served")
    # From then on all machines are in touch again, with half a second to spare.
    from_then = gone_at + max(DRAIN, KILL_AFTER + DOWN + CONTACT) + 0.5
    return [
        f"DRAIN: {request} reaches {leaver.id} {at - gone_at:.1f} s after its departure was acknowledged"
        for at, request in leaver.arrived
        if at > from_then
    ]


harness.play(__file__, case, entries=ENTRIES)
