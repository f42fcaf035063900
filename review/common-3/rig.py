"""Stand-ins and helpers of the cases 11 to 15: the platform's store, replicas of a plain service, clients, and entry
instances as processes with the commands of deploy/system.toml. Everything is on loopback addresses."""
import asyncio
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = {
    "seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
    "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "downgrade_ms": 250, "max_skew_ms": 5000,
    "strict_revoke": True, "revoke_ms": 5000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_extra": 54,
    "warmup_excess": 1.5, "warmup_margin": 5, "evacuate_ms": 5000, "recovery_s": 12, "event_delay_ms": 120,
    "retry_after_s": 4.6,
}


class CannotRun(Exception):
    pass


class Record:
    """Writes record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def free_port(host):
    with socket.socket() as s:
        s.bind((host, 0))
        return s.getsockname()[1]


def loopback():
    return f"127.{random.randint(1, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}"


async def read_head(reader):
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += part[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


def message(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store. Loses nothing that it acknowledged, unless [restore] is called."""

    def __init__(self, record):
        self.record = record
        self.objects = {}
        self.events = []
        self.revision = 100
        self.era = 1
        self.floor = 100
        self.changed = asyncio.Event()
        self.is_down = False
        self.loses = lambda method, kind, is_watch: False
        self.answers = 0
        self.writers = set()

    async def start(self):
        self.host = loopback()
        self.server = await asyncio.start_server(self.serve, self.host, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.addr = f"{self.host}:{self.port}"

    def put(self, kind, name, spec):
        known = self.objects.get((kind, name))
        if known and known["spec"] == spec:
            return
        self.revision += 1
        created = known["meta"]["created"] if known else self.revision
        meta = {"name": name, "revision": self.revision, "created": created, "finalizers": [],
                "deletion_pending": False}
        self.objects[kind, name] = {"meta": meta, "spec": spec, "status": None}
        self.note(kind, name, False)

    def delete(self, kind, name):
        if (kind, name) in self.objects:
            self.revision += 1
            self.objects[kind, name]["meta"]["revision"] = self.revision
            self.note(kind, name, True)
            del self.objects[kind, name]

    def note(self, kind, name, deleted):
        self.events.append((self.revision, kind, {"object": json.loads(json.dumps(self.objects[kind, name])),
                                                  "deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    def copy(self):
        return json.loads(json.dumps([[k, n, o] for (k, n), o in self.objects.items()])), self.revision

    def restore(self, copy):
        """Comes back from [copy]: revisions go back and are given out again, and the era rises by one."""
        objects, self.revision = copy
        self.objects = {(k, n): o for k, n, o in objects}
        self.events = []
        self.floor = self.revision
        self.era += 1

    def go_down(self):
        self.is_down = True
        for writer in list(self.writers):
            writer.transport.abort()
        self.server.close()

    async def come_back(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        self.is_down = False

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ")
                status, answer, kind, is_watch = await self.answer(method, target, body)
                if self.is_down:
                    break
                self.answers += 1
                if self.loses(method, kind, is_watch):
                    self.record(f"store: the answer to {method} {target} is lost")
                    # A connection on which a response is lost returns nothing further.
                    await reader.read()
                    break
                text = json.dumps(answer).encode()
                writer.write(message(f"HTTP/1.1 {status} X", [
                    ("Content-Type", "application/json"), ("Content-Length", len(text)), ("Store-Era", self.era)],
                    text))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, method, target, body):
        url = urlsplit(target)
        query = parse_qs(url.query)
        parts = [unquote(p) for p in url.path.split("/")[3:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if method == "GET" and "watch" in query:
            since = int(query["watch"][0])
            wait = min(int(query.get("wait_ms", ["0"])[0]), 30000) / 1000
            return *await self.watch(kind, since, wait), kind, True
        if method == "GET" and name is None:
            after = query.get("since_rev", [""])[0]
            names = sorted(n for k, n in self.objects if k == kind and n > after)
            page, size = [], 0
            for n in names:
                entry = self.objects[kind, n]
                size += len(json.dumps(entry["spec"]))
                if page and (len(page) >= 500 or size > 1 << 20):
                    break
                page.append(entry)
            return 200, {"entries": page, "has_more": len(page) < len(names), "at": self.revision}, kind, False
        if method == "GET":
            entry = self.objects.get((kind, name))
            return (200, entry, kind, False) if entry else (404, {}, kind, False)
        if method == "POST":
            sent = json.loads(body)
            name = sent["meta"]["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[kind, name], kind, False
            self.put(kind, name, sent["spec"])
            return 200, self.objects[kind, name], kind, False
        if method == "PUT":
            if (kind, name) not in self.objects:
                return 404, {}, kind, False
            if len(parts) < 3:
                self.put(kind, name, json.loads(body)["spec"])
            return 200, self.objects[kind, name], kind, False
        if method == "DELETE":
            self.delete(kind, name)
            return 200, {}, kind, False
        return 404, {}, kind, False

    async def watch(self, kind, since, wait):
        end = time.monotonic() + wait
        era = self.era
        while True:
            if since < self.floor or since > self.revision or era != self.era:
                return 410, {}
            events = [e for r, k, e in self.events if k == kind and r > since]
            if events or time.monotonic() >= end:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
            except asyncio.TimeoutError:
                pass


class Replica:
    """A replica of a plain service, with one request at a time on each connection."""

    def __init__(self, record, store, name, service="desk", zone="z-a", work_ms=40, slots=6):
        self.record, self.store, self.name, self.service, self.zone = record, store, name, service, zone
        self.work_ms, self.slots = work_ms, slots
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.runs = []
        self.arrivals = []
        self.writers = set()
        self.running = 0
        self.cut = 0
        self.seq = 0

    async def start(self):
        self.host = loopback()
        self.server = await asyncio.start_server(self.serve, self.host, 0)
        self.addr = f"{self.host}:{self.server.sockets[0].getsockname()[1]}"
        self.register()

    def register(self):
        self.seq += 1
        self.store.put("servers", self.name, {
            "svc": self.service, "addr": self.addr, "zone": self.zone, "version": "1", "slots": self.slots,
            "state": self.state, "warmup_left_ms": 0, "seq": self.seq, "born": self.born})

    async def heartbeats(self, every=1.2):
        while self.state != "gone":
            await asyncio.sleep(every)
            if self.state != "gone" and not self.store.is_down:
                self.register()

    def exit(self):
        self.record(f"replica {self.name}: exits with {self.running} requests in progress")
        self.cut = self.running
        self.state = "gone"
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.store.delete("servers", self.name)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await self.handle(first, headers, body, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, first, headers, body, writer):
        request = headers.get("x-request-id", "-")
        base = [("X-Request-Id", request), ("X-Instance-Id", self.name)]
        if self.state == "draining":
            base.append(("Server-Leaving", "1"))
        if headers.get("x-expect-instance", self.name) != self.name:
            self.record(f"replica {self.name}: {request} is for {headers['x-expect-instance']}, 421")
            writer.write(message("HTTP/1.1 421 X", base + [("X-Not-Executed", "1"), ("Content-Length", 0)]))
            return
        self.arrivals.append((self.record.now(), request))
        self.runs.append((self.record.now(), request))
        self.record(f"replica {self.name}: runs {request} tenant {headers.get('x-tenant')} state {self.state}")
        self.running += 1
        await asyncio.sleep(self.work_ms / 1000)
        self.running -= 1
        if self.state == "draining":
            base = [h for h in base if h[0] != "Server-Leaving"] + [("Server-Leaving", "1"), ("Connection", "close")]
        answer = f"result of {request}".encode()
        writer.write(message("HTTP/1.1 200 OK", base + [
            ("X-Response-Signature", f"sig.{request}"), ("Content-Length", len(answer)),
            ("Keep-Alive", "timeout=10"), ("X-Instance-Load", f"{self.running},0,{self.slots}")], answer))
        await writer.drain()


class Instance:
    """An entry instance: a process with the command of deploy/system.toml."""

    def __init__(self, record, store, name, folder, zone="z-a", memory_mb=280, all_zones=("z-a",)):
        self.record, self.name, self.process = record, name, None
        self.host = loopback()
        self.ports = {p: free_port(self.host) for p in ("http", "ready", "control")}
        self.settings = os.path.join(folder, name + ".json")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as f:
            role = next(iter(tomllib.load(f)["roles"].values()))
        self.command = shlex.split(role["run"])
        self.environment = {k: os.environ[k] for k in ("PATH", "HOME", "JAVA_HOME", "LANG") if k in os.environ}
        self.environment.update(role.get("env", {}))
        self.environment["SEQUOIAWHEEL_METRICS_PORT"] = str(free_port(self.host))
        self.environment["SEQUOIAWHEEL_NODE_FILE"] = self.settings
        self.log = open(os.path.join(folder, name + ".log"), "w")
        with open(self.settings, "w") as f:
            json.dump({
                "node": name, "role": "entry", "class": "edge", "serves": ["edge"], "ip": self.host, "zone": zone,
                "region": "r", "zones": {z: "r" for z in all_zones},
                "listen": {k: f"{self.host}:{p}" for k, p in self.ports.items()},
                "port_range": [7200, 7215], "seeds": [], "bootstrap": True, "counts_as_loss": False,
                "limits": {"cpu_share": 0.75, "cores": 1, "memory_mb": memory_mb, "max_fds": 4100,
                           "link_mbps": 1000.0, "disk_mb": 0},
                "data_dir": None, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
                "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
                              "places", "platform"],
                "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0}, "bounds": BOUNDS,
                "platform": {"addr": store.addr, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000,
                             "retention_s": 20, "value_bytes": 1048576, "min_ttl_ms": 1000}}, f)

    def start(self):
        self.process = subprocess.Popen(self.command, cwd=ROOT, env=self.environment, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=self.log)
        self.record(f"instance {self.name}: started")

    def signal(self, number):
        self.record(f"instance {self.name}: signal {number}")
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ports["ready"])
            writer.write(message("GET /v1/readyz HTTP/1.1", [("Host", "ready"), ("Connection", "close")]))
            first = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in first
        except (OSError, asyncio.TimeoutError):
            return False

    async def await_listening(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                (await asyncio.open_connection(self.host, self.ports["ready"]))[1].close()
                return True
            except OSError:
                await asyncio.sleep(0.03)
        return False

    async def await_ready(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.process.poll() is not None:
                return False
            if await self.is_ready():
                self.record(f"instance {self.name}: ready")
                return True
            await asyncio.sleep(0.1)
        return False


def configuration(version, service="desk", kinds=("unsafe", "safe"), keys=("key-1",), extra=None):
    routes = [{"name": "r-" + kind, "host": "site.example", "path_prefix": f"/{kind}/", "type": kind, "svc": service,
               "timeout_ms": 2500, "slo_ms": 193, "prio": 0, "attempts": 2 if kind == "safe" else 1}
              for kind in kinds]
    spec = {"version": version, "routes": routes,
            "svcs": [{"name": service, "health_path": "/healthz", "max_conns": 100}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 10000,
                       "idle_timeout_ms": 30000},
            "tenants": [{"name": "tenant-a", "api_keys": list(keys)}]}
    spec.update(extra or {})
    return spec


async def ask(record, instance, request, kind="unsafe", key="key-1", body=b"{}", deadline_ms=2500, path="x"):
    """Sends one request on a new connection. Returns the status, or None if the connection ended without an answer."""
    record(f"client: sends {request} ({kind}, key {key}) to {instance.name}")
    status, answer = None, b""
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(instance.host, instance.ports["http"]), 1)
        method = "GET" if kind == "safe" else "POST"
        writer.write(message(f"{method} /{kind}/{path} HTTP/1.1", [
            ("Host", "site.example"), ("X-Request-Id", request), ("X-Deadline-Ms", deadline_ms), ("Api-Key", key),
            ("Content-Length", len(body))], body))
        first, headers = await asyncio.wait_for(read_head(reader), deadline_ms / 1000 + 1)
        answer = await asyncio.wait_for(read_body(reader, headers), 2)
        status = int(first.split(" ")[1])
        writer.close()
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as failure:
        record(f"client: {request} failed: {type(failure).__name__}")
    record(f"client: {request} answered {status} {answer[:120]!r}")
    return status


async def run(case, record, folder, instances, seconds):
    # Tasks that are cancelled at the end are no errors.
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    return await asyncio.wait_for(case(record, folder, instances), seconds)


def main(folder, case, seconds=110):
    """Runs [case], a coroutine function of a record, a temporary folder and the list of instances, and exits."""
    folder = os.path.abspath(folder)
    record = Record(folder)
    temporary = tempfile.mkdtemp()
    instances = []
    code = 2
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        verdict = asyncio.run(run(case, record, temporary, instances, seconds))
        code = 1 if verdict else 0
        record("verdict: " + (f"the rule was broken: {verdict}" if verdict else "the rule held"))
        print(verdict or "the rule held")
    except Exception as failure:
        # Only a verdict counts as a broken rule; an error of the script itself must not exit with 1.
        record(f"verdict: the case could not run: {failure!r}")
        print("could not run", repr(failure))
    finally:
        for instance in instances:
            if instance.process is None:
                continue
            if instance.process.poll() is None:
                instance.process.send_signal(signal.SIGCONT)
                instance.process.kill()
            instance.process.wait()
        if os.environ.get("KEEP"):
            shutil.copytree(temporary, os.environ["KEEP"], dirs_exist_ok=True)
        shutil.rmtree(temporary, ignore_errors=True)
    sys.exit(code)
