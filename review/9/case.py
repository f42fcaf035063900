"""
Two instances of one zone, of which the second watches the first instead of the store. The first one is cut off from the
store, and a replica reports that it is draining. The second one has a sound path to the store and to all others. The replica serves for drain_ms and 0.3 s more, and exits.
"""
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))
import rig  # noqa: E402

DRAIN_MS = 2000
LINGER_MS = 300
WORK_S = 0.04
CUT_S = 4.0


class Desk(rig.Replica):
    has_exited = False

    def __init__(self, *arguments):
        self.reached = []
        super().__init__(*arguments, slots=6)

    def handle(self, connection, method, target, headers, body):
        if target == "/healthz":
            return self.send(connection, "200 OK", {"X-Instance-Id": self.name})
        if headers.get("x-expect-instance", self.name) != self.name:
            return self.refuse(connection, headers, "421 Misdirected Request")
        request = headers["x-request-id"]
        self.reached.append((self.record.now(), request))
        self.record("%s runs %s" % (self.name, request))
        time.sleep(WORK_S)
        if self.has_exited:
            self.record("%s ended within %s" % (self.name, request))
            raise EOFError
        self.send(connection, "200 OK", {
            "X-Request-Id": request, "X-Response-Signature": "s.%s.%s" % (self.name, request)}, b"ran " + request.encode())


def scenario(trouble, record, folder, entries):
    store = rig.Store(record)
    link = rig.Link(store.port)
    desks = [Desk("desk-%d" % number, "desk", store, record) for number in (1, 2, 3)]
    store.put("config", "main", rig.configuration(
        1, [rig.route("pledge", "desk", "unsafe", 2500, "/pledge/", objective_ms=193)], [rig.plain_service("desk")]))
    for desk in desks:
        desk.register()
    first = rig.Entry("edge-1", "a", link.port, folder, record)
    entries.append(first)
    first.await_ready()
    second = rig.Entry("edge-2", "a", store.port, folder, record)
    entries.append(second)
    second.await_ready()
    end = time.monotonic() + 20
    while '"source":"edge-1"' not in second.lines():
        if time.monotonic() > end:
            raise RuntimeError("edge-2 doesn't watch edge-1")
        time.sleep(0.1)
    # Longer than contact_ms, so that both are in touch.
    time.sleep(5)
    is_done = threading.Event()
    calls = []

    def send(worker):
        number = 0
        while not is_done.is_set():
            number += 1
            calls.append(rig.Call(second, "r%d-%d" % (worker, number), "/pledge/1", record, deadline_ms=2500).run())
            time.sleep(0.05)

    workers = [threading.Thread(target=send, args=(worker,), daemon=True) for worker in range(4)]
    for worker in workers:
        worker.start()
    time.sleep(1)
    before = store.watches.get("config", 0)
    while store.watches.get("config", 0) == before:
        time.sleep(0.001)
    time.sleep(0.02)
    if trouble:
        record("edge-1 is cut off from the store")
        link.cut()
    time.sleep(0.03)
    desks[0].register("draining")
    acknowledged = record.now()
    time.sleep((DRAIN_MS + LINGER_MS) / 1000)
    record("desk-1 exits")
    desks[0].has_exited = True
    desks[0].end()
    store.remove("servers", "desk-1", by="desk-1")
    time.sleep(CUT_S - (DRAIN_MS + LINGER_MS) / 1000)
    if trouble:
        record("the path of edge-1 to the store is sound again")
        link.heal()
    is_done.set()
    for worker in workers:
        worker.join(5)
    late = [(at - acknowledged, request) for at, request in desks[0].reached if at - acknowledged > DRAIN_MS]
    record("%d requests were answered with 200 of %d; not answered with it: %s" % (
        sum(call.status == 200 for call in calls), len(calls),
        [(call.id, call.status, call.end) for call in calls if call.status != 200]))
    record("requests that reached desk-1 later than %d ms after its report was acknowledged: %d %s" % (
        DRAIN_MS, len(late), late[-1:]))
    return bool(late)


rig.main(HERE, scenario)
