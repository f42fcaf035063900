"""
A crowded engine turns a request away with 503 and Retry-After, and is drained a moment later. Its run moves to the
engine that holds the backup. The engine doesn't drop a run when its connection closes, so it has to be asked to stop.
"""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))
import engines  # noqa: E402
import rig  # noqa: E402

PAUSE_S = 5
DRAIN_S = 2.0


class Engine(engines.Engine):
    is_full = False
    pauses = False

    def __init__(self, *arguments):
        self.refused = []
        super().__init__(*arguments, drops=False)

    def refusal(self, request, goes_on):
        if not self.is_full or goes_on:
            return None
        self.refused.append(self.record.now())
        return {"Retry-After": str(PAUSE_S)} if self.pauses else {}


def scenario(trouble, record, folder, entries):
    store = rig.Store(record)
    fleet = {}
    both = [Engine("engine-%d" % number, store, record, fleet) for number in range(1, 8)]
    engines.deploy(store, both)
    entry = rig.Entry("edge-1", "a", store.port, folder, record)
    entries.append(entry)
    entry.await_ready()
    time.sleep(1)
    calls = [rig.Call(entry, "first", "/letters/1", record, headers=engines.HEADERS).start()]
    time.sleep(1)
    source = next(engine for engine in both if "first" in engine.runs)
    # Requests of other machines take the other slots of the source, so that it turns further ones away.
    source.is_full, source.pauses = True, trouble
    for number in range(60):
        if source.refused:
            break
        calls.append(rig.Call(entry, "more-%d" % number, "/letters/1", record, headers=engines.HEADERS).start())
        time.sleep(0.05)
    if not source.refused:
        raise RuntimeError("the source was sent no further request")
    time.sleep(0.5)
    source.register("draining")
    # It serves for drain_ms and a little longer, and exits.
    time.sleep(DRAIN_S + 1.5)
    source.exit()
    for call in calls:
        call.thread.join(20)
    if sum(len(engine.runs.get("first", [])) for engine in both) < 2:
        raise RuntimeError("the run did not move")
    quiet = [at for at in source.reached if 500 < at - source.refused[0] < PAUSE_S * 1000]
    record("requests that reached %s from 0.5 s after its refusal to %d s after it: %d, with Retry-After 2 are allowed"
           % (source.name, PAUSE_S, len(quiet)))
    return engines.longest_overlap(record, "first", both) > engines.OVERLAP_MS


rig.main(HERE, scenario)
