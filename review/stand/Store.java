import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in for the platform's store: objects by kind and name, lists, watches and writes. It may come back older. */
final class Store {
    private record Event(long revision, String kind, Map<String, Object> object, boolean deleted) {}

    private final Map<String, TreeMap<String, Map<String, Object>>> objects = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private final ServerSocket listener;
    private Map<String, TreeMap<String, Map<String, Object>>> copy;
    private long copyRevision;
    private long revision = 1;

    /** The number of times that the store came back from a copy, which all its answers carry. */
    private long era = 1;
    private volatile boolean isAway;

    Store() throws IOException {
        listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Threads.start("store", () -> {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Threads.start("store call", () -> serve(socket));
            }
        });
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Writes an object and returns once it is acknowledged. */
    synchronized void put(String kind, String name, Object spec) {
        Map<String, Object> object =
            Json.map("meta", Json.map("name", name, "revision", ++revision, "finalizers", List.of(), "deletion_pending", false),
                "spec", spec, "status", null);
        objects.computeIfAbsent(kind, key -> new TreeMap<>()).put(name, object);
        events.add(new Event(revision, kind, object, false));
        notifyAll();
    }

    synchronized boolean remove(String kind, String name) {
        Map<String, Object> object = objects.computeIfAbsent(kind, key -> new TreeMap<>()).remove(name);
        if (object == null) return false;
        revision++;
        events.add(new Event(revision, kind, object, true));
        notifyAll();
        return true;
    }

    /** Keeps a copy of all objects, for [restore]. */
    synchronized void keepCopy() {
        copy = new TreeMap<>();
        objects.forEach((kind, named) -> copy.put(kind, new TreeMap<>(named)));
        copyRevision = revision;
    }

    /** Answers nothing any more. */
    void leave() {
        isAway = true;
    }

    /** Comes back from the copy: what was written since is gone, and its revisions are given out again. */
    synchronized void restore() {
        objects.clear();
        objects.putAll(copy);
        revision = copyRevision;
        events.clear();
        era++;
        isAway = false;
        notifyAll();
    }

    synchronized boolean has(String kind, String name) {
        return objects.containsKey(kind) && objects.get(kind).containsKey(name);
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Http request = Http.readRequest(in);
                if (request == null || isAway) return;
                String[] parts = request.startLine.split(" ");
                String target = parts[1];
                String path = target.split("\\?")[0].replaceFirst("^/v1/objects/", "");
                Map<String, String> query = new TreeMap<>();
                if (target.contains("?")) {
                    for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
                        int equals = pair.indexOf('=');
                        query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
                    }
                }
                String kind = path.split("/")[0];
                String name = path.contains("/") ? URLDecoder.decode(path.split("/")[1], StandardCharsets.UTF_8) : null;
                Answer answer = handle(parts[0], kind, name, query, request);
                if (isAway) return;
                answer(socket.getOutputStream(), answer, era);
            }
        }
    }

    private record Answer(int status, Object body) {}

    private Answer handle(String method, String kind, String name, Map<String, String> query, Http request) throws Exception {
        if (method.equals("GET") && query.containsKey("watch")) return watch(kind, query);
        synchronized (this) {
            if (method.equals("GET") && name == null) {
                List<Object> entries = new ArrayList<>(objects.getOrDefault(kind, new TreeMap<>()).values());
                return new Answer(200, Json.map("entries", entries, "has_more", false, "at", revision));
            }
            if (method.equals("GET")) return has(kind, name) ? new Answer(200, objects.get(kind).get(name)) : new Answer(404, Json.map());
            if (method.equals("DELETE")) return new Answer(remove(kind, name) ? 200 : 404, Json.map());
            Map<String, Object> body = Json.object(new String(request.body, StandardCharsets.UTF_8));
            if (method.equals("POST")) {
                name = (String) ((Map<?, ?>) body.get("meta")).get("name");
                if (has(kind, name)) return new Answer(409, objects.get(kind).get(name));
            }
            put(kind, name, body.get("spec"));
            return new Answer(200, objects.get(kind).get(name));
        }
    }

    private synchronized Answer watch(String kind, Map<String, String> query) throws InterruptedException {
        long since = Long.parseLong(query.get("watch"));
        long began = era;
        long end = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        while (true) {
            if (era != began || since > revision) return new Answer(410, Json.map());
            List<Object> found = new ArrayList<>();
            for (Event event : events) {
                if (event.revision > since && event.kind.equals(kind)) {
                    found.add(Json.map("deleted", event.deleted, "object", event.object));
                }
            }
            long leftMillis = (end - System.nanoTime()) / 1_000_000;
            if (!found.isEmpty() || leftMillis <= 0) return new Answer(200, Json.map("events", found, "at", revision));
            wait(leftMillis);
        }
    }

    private static void answer(OutputStream out, Answer answer, long era) throws IOException {
        byte[] body = Json.write(answer.body).getBytes(StandardCharsets.UTF_8);
        String head = "HTTP/1.1 " + answer.status + " X\r\nContent-Type: application/json\r\nContent-Length: " + body.length + "\r\nStore-Era: " + era
            + "\r\n\r\n";
        byte[] bytes = new byte[head.length() + body.length];
        System.arraycopy(head.getBytes(StandardCharsets.ISO_8859_1), 0, bytes, 0, head.length());
        System.arraycopy(body, 0, bytes, head.length(), body.length);
        out.write(bytes);
        out.flush();
    }
}
