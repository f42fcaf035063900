import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A stand-in for a replica of a model engine: it streams events, and copies running requests to other replicas, on order
 * or as backups.
 * Most replicas drop a request when its connection closes; this one may be of the others.
 */
final class Engine {
    private static final long EVENT_MILLIS = 30;
    private static final long PREFILL_MILLIS = 100;

    /** The time for which a replica goes on serving after its report of draining was accepted. */
    private static final long LINGER_MILLIS = 3_000;

    /** One request at one replica; times are those of the record, or 0. */
    static final class Run {
        final String replica;
        final String id;
        final boolean isContinued;
        volatile long startedMillis;
        volatile long workedMillis;
        volatile int made;
        volatile boolean isStopped;
        volatile boolean isDone;

        Run(String replica, String id, boolean isContinued) {
            this.replica = replica;
            this.id = id;
            this.isContinued = isContinued;
        }
    }

    private static final Map<String, Engine> byAddress = new ConcurrentHashMap<>();
    private static final AtomicInteger handles = new AtomicInteger();

    final String id;
    final List<Run> runs = java.util.Collections.synchronizedList(new ArrayList<>());
    private final Map<String, Run> running = new ConcurrentHashMap<>();
    private final Map<String, String> copies = new ConcurrentHashMap<>();
    private final ServerSocket listener;
    private final Store store;
    private final Record record;
    private final boolean drops;
    private final long born = System.currentTimeMillis();
    private volatile boolean isDraining;
    private volatile boolean hasExited;
    private int sequence;

    Engine(String id, boolean drops, Store store, Record record) throws IOException {
        this.id = id;
        this.drops = drops;
        this.store = store;
        this.record = record;
        listener = new ServerSocket(0, 500, InetAddress.getByName("127.0.0.1"));
        byAddress.put(address(), this);
        register();
        Threads.start("heartbeat", () -> {
            while (!hasExited) {
                Thread.sleep(1200);
                if (!hasExited) register();
            }
        });
        Threads.start("engine", () -> {
            while (!hasExited) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Threads.start("engine call", () -> serve(socket));
            }
        });
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    int runningCount() {
        return running.size();
    }

    /** Reports that the replica drains, serves on for a while, and exits. */
    void drain() throws Exception {
        isDraining = true;
        register();
        record.line("%s drains, with %d runs", id, running.size());
        Thread.sleep(LINGER_MILLIS);
        hasExited = true;
        store.remove("servers", id);
        listener.close();
        record.line("%s exits", id);
    }

    private synchronized void register() {
        store.put("servers", id, Json.map("svc", "writers", "addr", address(), "zone", "colombo-a", "version", "v1", "slots", 24,
            "state", isDraining ? "draining" : "ready", "warmup_left_ms", 0, "seq", ++sequence, "born", born, "phase", "unified",
            "model_list", List.of(Json.map("name", "m", "version", 1, "loras", List.of()))));
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Http request = Http.readRequest(in);
                if (request == null) return;
                String expected = request.header("X-Expect-Instance");
                String requestId = request.header("X-Request-Id");
                if (request.startLine.startsWith("POST /v1/kv-move ")) {
                    move(request, out);
                } else if (expected != null && !expected.equals(id)) {
                    refuse(out, 421, requestId);
                } else if (!generate(request, socket, in, out)) {
                    return;
                }
            }
        }
    }

    private void refuse(OutputStream out, int status, String requestId) throws IOException {
        Replica.write(out, "HTTP/1.1 " + status + " X\r\nX-Instance-Id: " + id + "\r\nX-Not-Executed: 1\r\nX-Request-Id: " + requestId
            + "\r\nContent-Length: 0\r\n\r\n", new byte[0]);
    }

    /** Copies a run to another replica; with `last`, the run stops first and its stream closes without its end. */
    private void move(Http request, OutputStream out) throws Exception {
        Map<String, Object> body = Json.object(new String(request.body, StandardCharsets.UTF_8));
        Run run = running.get((String) body.get("id"));
        Engine destination = byAddress.get((String) body.get("to"));
        boolean isLast = Boolean.TRUE.equals(body.get("last"));
        record.line("%s is to copy %s to %s, last %s", id, body.get("id"), destination == null ? "?" : destination.id, isLast);
        Object answer = Json.map();
        int status = run == null ? 404 : destination == null || destination.hasExited ? 503 : 200;
        if (status == 200) {
            if (isLast) run.isStopped = true;
            Thread.sleep(20);
            String handle = "h" + handles.incrementAndGet();
            destination.copies.put(address() + "/" + handle, run.id);
            copies.put(address() + "/" + handle, run.id);
            answer = Json.map("session", handle, "created", run.made);
        }
        byte[] bytes = Json.write(answer).getBytes(StandardCharsets.UTF_8);
        Replica.write(out, "HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n\r\n", bytes);
    }

    /** Runs a request and streams its events. Returns whether the connection can carry another request. */
    private boolean generate(Http request, Socket socket, BufferedInputStream in, OutputStream out) throws Exception {
        String requestId = request.header("X-Request-Id");
        String from = request.header("Kv-From");
        if (from != null && !requestId.equals(copies.remove(from))) {
            refuse(out, 503, requestId);
            return true;
        }
        int events = Integer.parseInt(request.header("X-Token-Usage").split(",")[1]) / 4;
        int first = from == null ? 0 : Integer.parseInt(request.header("Last-Event-Id"));
        String backup = request.header("X-Kv-Backup");
        if (backup != null && byAddress.containsKey(backup)) byAddress.get(backup).copies.put(backup + "/" + requestId, requestId);
        Run run = new Run(id, requestId, from != null);
        runs.add(run);
        running.put(requestId, run);
        Thread reader = Threads.start("close", () -> {
            try {
                while (in.read() >= 0) continue;
            } catch (java.net.SocketTimeoutException done) {
                return;
            } finally {
                if (drops && !run.isDone) run.isStopped = true;
            }
        });
        boolean isConnected = true;
        try {
            if (from == null) Thread.sleep(PREFILL_MILLIS);
            for (int event = first + 1; event <= events && !run.isStopped && !hasExited; event++) {
                run.workedMillis = record.millis();
                if (run.startedMillis == 0) {
                    run.startedMillis = run.workedMillis;
                    record.line("%s starts to run %s%s", id, requestId, run.isContinued ? ", after event " + first : "");
                }
                run.made = event;
                String head = event > first + 1 ? "" : "HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\nX-Request-Id: " + requestId
                    + "\r\nX-Response-Signature: s." + id + "\r\nX-Weights-Version: 1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n";
                String data = "id: " + event + "\ndata: " + requestId + " " + event + "\n\n";
                if (isConnected) isConnected = send(out, head + Integer.toHexString(data.length()) + "\r\n" + data + "\r\n");
                if (!isConnected && drops) break;
                Thread.sleep(EVENT_MILLIS);
            }
            if (run.made == events && isConnected) send(out, "0\r\n\r\n");
        } finally {
            run.isDone = true;
            running.remove(requestId);
            record.line("%s ends its run of %s at event %d of %d%s", id, requestId, run.made, events, isConnected ? "" : ", its connection was closed before");
        }
        return false;
    }

    private static boolean send(OutputStream out, String text) {
        try {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            return true;
        } catch (IOException closed) {
            return false;
        }
    }
}
