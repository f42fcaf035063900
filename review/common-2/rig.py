"""
Parts that the scripts of this review share: a stand-in for the platform's store, a TCP proxy, stand-ins for replicas,
a client, and the start of entry instances with the run line of deploy/system.toml. Python's standard library only.
Everything listens on loopback addresses with free ports.
"""
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "front.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2
_ports = set()


def free_port():
    while True:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        # The same number is used for TCP and UDP.
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _ports:
            _ports.add(port)
            return port


class Record:
    """The lines of record.txt: what was sent, answered and run, with the milliseconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w")
        self.lock = threading.Lock()

    def now(self):
        return int((time.monotonic() - self.start) * 1000)

    def __call__(self, text):
        with self.lock:
            self.file.write("%7d %s\n" % (self.now(), text))
            self.file.flush()


class Connection:
    """One HTTP/1.1 connection that is read with a buffer."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def _fill(self):
        data = self.sock.recv(65536)
        if not data:
            raise EOFError
        self.buffer += data

    def line(self):
        while b"\r\n" not in self.buffer:
            self._fill()
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line.decode("latin-1")

    def exactly(self, size):
        while len(self.buffer) < size:
            self._fill()
        data, self.buffer = self.buffer[:size], self.buffer[size:]
        return data

    def head(self):
        first = self.line()
        headers = {}
        while True:
            line = self.line()
            if not line:
                return first, headers
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()

    def chunk(self):
        """Returns the next chunk of a chunked body, empty for the last one."""
        size = int(self.line().split(";")[0], 16)
        data = self.exactly(size)
        self.line()
        return data

    def body(self, headers):
        if headers.get("transfer-encoding", "").lower() == "chunked":
            whole = b""
            while True:
                data = self.chunk()
                if not data:
                    return whole
                whole += data
        return self.exactly(int(headers.get("content-length", "0")))

    def close(self):
        try:
            self.sock.close()
        except OSError:
            pass


class Server:
    """Accepts connections on a free loopback port and calls `serve(connection)` in a thread for each."""

    def __init__(self, port=None):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", port or free_port()))
        self.listener.listen(256)
        self.port = self.listener.getsockname()[1]
        self.address = "127.0.0.1:%d" % self.port
        self.is_closed = False
        self.sockets = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while not self.is_closed:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if not self.admits():
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                sock.close()
                continue
            threading.Thread(target=self._run, args=(sock,), daemon=True).start()

    def admits(self):
        """Whether one more connection is served; else it is reset."""
        return True

    def _run(self, sock):
        connection = Connection(sock)
        self.sockets.add(sock)
        try:
            self.serve(connection)
        except (OSError, EOFError, ValueError):
            pass
        finally:
            self.sockets.discard(sock)
            connection.close()

    def close(self):
        self.is_closed = True
        self.listener.close()

    def end(self):
        """Closes the listener and all connections, as the end of a process does."""
        self.close()
        for sock in list(self.sockets):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Store(Server):
    """The platform's metadata store: listings, watches, creation, replacement, removal."""

    def __init__(self, record):
        self.record = record
        self.lock = threading.Condition()
        self.revision = 1
        self.objects = {}
        self.events = []
        self.watches = {}
        super().__init__()

    def put(self, kind, name, spec, by="operator"):
        with self.lock:
            self.revision += 1
            target = {
                "meta": {"name": name, "revision": self.revision, "created": self.revision, "finalizers": [],
                         "deletion_pending": False},
                "spec": spec, "status": None,
            }
            self.objects[(kind, name)] = target
            self.events.append((self.revision, kind, target, False))
            self.lock.notify_all()
        self.record("store acknowledges %s/%s by %s: %s" % (kind, name, by, json.dumps(spec)[:160]))
        return target

    def remove(self, kind, name, by="operator"):
        with self.lock:
            target = self.objects.pop((kind, name), None)
            if target is None:
                return
            self.revision += 1
            target["meta"]["revision"] = self.revision
            self.events.append((self.revision, kind, target, True))
            self.lock.notify_all()
        self.record("store acknowledges the removal of %s/%s by %s" % (kind, name, by))

    def serve(self, connection):
        while True:
            first, headers = connection.head()
            body = connection.body(headers)
            method, target, _ = first.split(" ")
            status, answer = self.answer(method, target, body)
            text = json.dumps(answer).encode()
            connection.sock.sendall(
                b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: %d\r\n\r\n%s"
                % (status, len(text), text))

    def answer(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        parts = [urllib.parse.unquote(part) for part in path.split("/") if part][2:]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if method == "GET" and "watch" in query:
            return self.watch(kind, int(query["watch"]), int(query.get("wait_ms", "0")) / 1000)
        with self.lock:
            if method == "GET" and name:
                found = self.objects.get((kind, name))
                return (200, found) if found else (404, {})
            if method == "GET":
                entries = [o for (k, _), o in sorted(self.objects.items()) if k == kind]
                return 200, {"entries": entries, "has_more": False, "at": self.revision}
        if method == "DELETE":
            self.remove(kind, name, by="the system")
            return 200, {}
        fields = json.loads(body)
        name = name or fields["meta"]["name"]
        with self.lock:
            found = self.objects.get((kind, name))
        if method == "POST" and found:
            return 409, found
        return 200, self.put(kind, name, fields["spec"], by="the system")

    def watch(self, kind, revision, wait_s):
        self.watches[kind] = self.watches.get(kind, 0) + 1
        end = time.monotonic() + wait_s
        with self.lock:
            while True:
                events = [{"object": o, "deleted": d} for r, k, o, d in self.events if k == kind and r > revision]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at": self.revision}
                self.lock.wait(left)


class Link(Server):
    """A TCP path to `target`. While it is cut, nothing passes in either direction and nothing is answered."""

    def __init__(self, target):
        self.target = target
        self.is_open = threading.Event()
        self.is_open.set()
        super().__init__()

    def cut(self):
        self.is_open.clear()

    def heal(self):
        self.is_open.set()

    def serve(self, connection):
        self.is_open.wait()
        with socket.create_connection(("127.0.0.1", self.target)) as upstream:
            back = threading.Thread(target=self._copy, args=(upstream, connection.sock), daemon=True)
            back.start()
            self._copy(connection.sock, upstream)
            back.join()

    def _copy(self, source, destination):
        try:
            while True:
                data = source.recv(65536)
                self.is_open.wait()
                if not data:
                    destination.shutdown(socket.SHUT_WR)
                    return
                destination.sendall(data)
        except OSError:
            for sock in (source, destination):
                try:
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass


class Replica(Server):
    """A replica of a service: its entry in the store, and the answers to what it doesn't run."""

    def __init__(self, name, service, store, record, zone="a", slots=24):
        self.name, self.service, self.store, self.record = name, service, store, record
        self.zone, self.slots = zone, slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        super().__init__()

    def register(self, state="ready", cold_ms=0):
        self.sequence += 1
        self.store.put("servers", self.name, {
            "svc": self.service, "addr": self.address, "zone": self.zone, "version": "1", "slots": self.slots,
            "state": state, "warmup_left_ms": cold_ms, "seq": self.sequence, "born": self.born,
        }, by=self.name)

    def serve(self, connection):
        while True:
            first, headers = connection.head()
            body = connection.body(headers)
            method, target, _ = first.split(" ")
            self.handle(connection, method, target, headers, body)

    def send(self, connection, status, headers, body=b""):
        lines = "".join("%s: %s\r\n" % item for item in headers.items())
        head = "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n" % (status, lines, len(body))
        connection.sock.sendall(head.encode() + body)

    def refuse(self, connection, headers, status="503 Service Unavailable", extra=None):
        fields = {"X-Request-Id": headers.get("x-request-id", ""), "X-Not-Executed": "1"}
        fields.update(extra or {})
        self.send(connection, status, fields)


class Entry:
    """An entry instance: the program of the deploy file as a process."""

    def __init__(self, name, zone, store_port, folder, record, bounds=None):
        self.name, self.record = name, record
        self.http, self.ready, self.control, self.peer, self.metrics = [free_port() for _ in range(5)]
        self.settings = os.path.join(folder, name + ".json")
        values = {
            "seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
            "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "downgrade_ms": 250, "max_skew_ms": 5000,
            "strict_revoke": True, "revoke_ms": 5000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_extra": 54,
            "warmup_excess": 1.5, "warmup_margin": 5, "evacuate_ms": 5000, "recovery_s": 12, "event_delay_ms": 120,
            "retry_after_s": 4.6,
        }
        values.update(bounds or {})
        settings = {
            "node": name, "role": "entry", "class": "edge", "serves": ["edge"], "ip": "127.0.0.1", "zone": zone,
            "region": "r", "zones": {zone: "r"},
            "listen": {"http": "127.0.0.1:%d" % self.http, "ready": "127.0.0.1:%d" % self.ready,
                       "control": "127.0.0.1:%d" % self.control},
            "port_range": [self.peer, self.peer], "seeds": [], "bootstrap": True, "counts_as_loss": False,
            "limits": {"cpu_share": 0.75, "cores": 1, "memory_mb": 280, "max_fds": 4100, "link_mbps": 1000.0,
                       "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
                          "places", "platform"],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": values,
            "platform": {"addr": "127.0.0.1:%d" % store_port, "form": "objects", "writes_per_s": 400,
                         "reads_per_s": 2000, "retention_s": 20, "value_bytes": 1048576, "min_ttl_ms": 1000},
        }
        with open(self.settings, "w") as file:
            json.dump(settings, file)
        with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
            run = re.search(r'^run = "(.*)"$', file.read(), re.M).group(1)
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "JAVA_HOME", "LANG") if key in os.environ}
        environment["SEQUOIAWHEEL_NODE_FILE"] = self.settings
        environment["SEQUOIAWHEEL_METRICS_PORT"] = str(self.metrics)
        self.log = os.path.join(folder, name + ".log")
        with open(self.log, "w") as log:
            self.process = subprocess.Popen(run.split(), cwd=ROOT, env=environment, stdout=log, stderr=log)

    def is_ready(self):
        try:
            with socket.create_connection(("127.0.0.1", self.ready), timeout=1) as sock:
                sock.sendall(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return b" 200 " in sock.recv(4096).split(b"\r\n")[0] + b" "
        except OSError:
            return False

    def await_ready(self, seconds=30):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.is_ready():
                self.record("%s is ready" % self.name)
                return
            if self.process.poll() is not None:
                break
            time.sleep(0.1)
        raise RuntimeError("%s is not ready" % self.name)

    def lines(self):
        """Returns the log so far."""
        with open(self.log) as file:
            return file.read()

    def kill(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()


class Call:
    """One request of a client, sent on a connection of its own. `run` returns when the answer ended or broke off."""

    def __init__(self, entry, request_id, target, record, method="POST", body=b"{}", headers=None, deadline_ms=39000):
        self.entry, self.id, self.target, self.record = entry, request_id, target, record
        self.method, self.body, self.headers, self.deadline_ms = method, body, headers or {}, deadline_ms
        self.status, self.events, self.answer, self.end, self.answer_headers = None, [], b"", None, {}
        self.thread = None

    def start(self):
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()
        return self

    def run(self):
        lines = {"Host": HOST, "X-Request-Id": self.id, "X-Deadline-Ms": str(self.deadline_ms),
                 "Content-Length": str(len(self.body))}
        lines.update(self.headers)
        head = "%s %s HTTP/1.1\r\n%s\r\n" % (
            self.method, self.target, "".join("%s: %s\r\n" % item for item in lines.items()))
        self.record("client sends %s to %s: %s %s" % (self.id, self.entry.name, self.method, self.target))
        try:
            with socket.create_connection(("127.0.0.1", self.entry.http), timeout=self.deadline_ms / 1000) as sock:
                sock.sendall(head.encode() + self.body)
                connection = Connection(sock)
                first, self.answer_headers = connection.head()
                self.status = int(first.split(" ")[1])
                if self.answer_headers.get("transfer-encoding", "").lower() != "chunked":
                    self.answer = connection.body(self.answer_headers)
                else:
                    text = b""
                    while True:
                        data = connection.chunk()
                        if not data:
                            break
                        text += data
                        while b"\n\n" in text:
                            event, text = text.split(b"\n\n", 1)
                            self.events.append(int(re.match(rb"id: (\d+)", event).group(1)))
                self.end = "complete"
        except (OSError, EOFError, ValueError) as failure:
            self.end = "broken off (%s)" % (type(failure).__name__)
        self.record("client has %s: status %s, %d events, %s, %s" % (
            self.id, self.status, len(self.events), self.answer[:120].decode("latin-1"), self.end))
        return self


def route(name, service, kind, timeout_ms, prefix, resumable=False, attempts=1, objective_ms=1800):
    return {"name": name, "host": HOST, "path_prefix": prefix, "type": kind, "timeout_ms": timeout_ms,
            "slo_ms": objective_ms, "prio": 1, "svc": service, "attempts": attempts, "public": True,
            "resumable": resumable, "itl_target_ms": 180}


def engine_service(name, slots=24, memory=34252):
    return {"name": name, "health_path": "/healthz", "max_conns": 242, "warmup_s": 1, "warmup_per_s": 37,
            "runtime": {"slots": slots, "kv_capacity": memory, "kv_token_bytes": 163840, "stride": 4, "moves": True,
                        "backups": True}}


def plain_service(name):
    return {"name": name, "health_path": "/healthz", "max_conns": 100, "warmup_s": 0, "warmup_per_s": 0}


def configuration(version, routes, services):
    return {"version": version, "routes": routes, "svcs": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


def main(folder, scenario):
    """Runs `scenario(trouble, record, folder, entries)`, which returns whether the rule was broken, and exits."""
    def terminate(number, frame):
        raise RuntimeError("ended by signal %d" % number)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, terminate)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    entries = []
    temporary = tempfile.mkdtemp(prefix="review-")
    code = NOT_RUN
    try:
        record("trouble: %s" % ("yes" if trouble else "no"))
        broken = scenario(trouble, record, temporary, entries)
        code = BROKEN if broken else HELD
        record("the rule was broken" if broken else "the rule held")
    except Exception as failure:
        record("could not run: %s: %s" % (type(failure).__name__, failure))
    finally:
        for entry in entries:
            entry.kill()
        if os.environ.get("KEEP_LOGS"):
            for entry in entries:
                shutil.copy(entry.log, os.environ["KEEP_LOGS"])
        shutil.rmtree(temporary, ignore_errors=True)
        print({HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[code], flush=True)
    os._exit(code)
