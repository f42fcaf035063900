"""
One of three engines, which run resumable streams, is replaced: the new one starts first, the old one drains. Its runs are moved, one after another
on its link. It doesn't drop a run when its connection closes, so it has to be asked to stop.
"""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))
import engines  # noqa: E402
import rig  # noqa: E402

DRAIN_S = 2.0
COLD_S = 1.0
STREAMS = 21
ENGINES = 3


class Engine(engines.Engine):
    # 2,360 tokens of 163,840 bytes at 24,000 Mbit/s.
    move_s = 0.129


def scenario(trouble, record, folder, entries):
    store = rig.Store(record)
    fleet = {}
    first = [Engine("engine-%d" % number, store, record, fleet, 150, False) for number in range(1, ENGINES + 1)]
    new = Engine("engine-new", store, record, fleet, 150, False)
    engines.deploy(store, first, resumable=True, attempts=2)
    entry = rig.Entry("edge-1", "a", store.port, folder, record)
    entries.append(entry)
    entry.await_ready()
    time.sleep(1)
    calls = []
    for number in range(STREAMS):
        calls.append(rig.Call(entry, "s%d" % number, "/letters/1", record, headers=engines.HEADERS).start())
        time.sleep(0.05)
    new.register(cold_ms=int(COLD_S * 1000))
    time.sleep(COLD_S + 0.5)
    old = max(first, key=lambda engine: len(engine.runs))
    if trouble:
        old.register("draining")
        time.sleep(DRAIN_S + 1.5)
        old.exit()
    for call in calls:
        call.thread.join(25)
    record("%d of %d streams were complete" % (sum(call.end == "complete" for call in calls), len(calls)))
    longest = max(engines.longest_overlap(record, call.id, first + [new]) for call in calls)
    return longest > engines.OVERLAP_MS


rig.main(HERE, scenario)
