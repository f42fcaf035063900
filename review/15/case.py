"""Entries of another writer lie among the replicas; after all instances were killed, none of them serves again."""
import asyncio
import json
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-3"))
from rig import BOUNDS, TROUBLE, CannotRun, Instance, Replica, Store, ask, configuration, main

VALUE_BYTES = 1_048_576
FOREIGN_ENTRIES = 4


def foreign_entry():
    spec = {"svc": 7, "addr": ["a", "list"], "samples": [1] * 349_000}
    assert len(json.dumps(spec)) <= VALUE_BYTES
    return spec


async def case(record, folder, instances):
    store = Store(record)
    await store.start()
    store.put("config", "main", configuration(1))
    replicas = [Replica(record, store, f"i-{n}") for n in "abc"]
    for replica in replicas:
        await replica.start()
    beats = [asyncio.create_task(r.heartbeats()) for r in replicas]
    instances += [Instance(record, store, f"edge-{n}", folder) for n in (1, 2)]
    for instance in instances:
        instance.start()
    if not all(await asyncio.gather(*(i.await_ready(25) for i in instances))):
        raise CannotRun("an instance is not ready")

    async def share_served(name, count):
        answers = []
        for number in range(count):
            answers += await asyncio.gather(
                *(ask(record, i, f"{name}-{number}-{i.name}") for i in instances))
            await asyncio.sleep(0.1)
        return sum(a == 200 for a in answers) / len(answers)

    if TROUBLE:
        for number in range(FOREIGN_ENTRIES):
            store.put("servers", f"z-{number}", foreign_entry())
            record(f"another writer: entry z-{number} among the servers")
            await asyncio.sleep(0.2)
    before = await share_served("before", 20)
    if before < 0.25:
        raise CannotRun("less than a quarter was served before the final fault")
    for instance in instances:
        instance.signal(signal.SIGKILL)
        instance.process.wait()
    await asyncio.sleep(0.5)
    for instance in instances:
        instance.start()
    await asyncio.sleep(BOUNDS["recovery_s"] + 0.5)
    after = await share_served("after", 40)
    ready = [await i.is_ready() for i in instances]
    for beat in beats:
        beat.cancel()
    record(f"served: {before:.2f} before the final fault, {after:.2f} after recovery_s; ready: {ready}")
    if after < 0.25:
        return (f"RECOVER: {after:.2f} of the requests sent later than {BOUNDS['recovery_s']} s after the machines "
                f"were back are served, {before:.2f} were before; ready: {ready}")
    return None


main(os.path.dirname(os.path.abspath(__file__)), case)
