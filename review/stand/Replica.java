import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A stand-in for a replica of a plain service. It registers itself in the store and answers after some work. */
final class Replica {
    /** Runs a request and answers it. */
    interface Work {
        void run(Http request, OutputStream out) throws Exception;
    }

    final String id;
    final String service;
    private final ServerSocket listener;
    private final Store store;
    private final long born = System.currentTimeMillis();
    private final Work work;
    private int sequence;

    Replica(String id, String service, Store store, Work work) throws IOException {
        this.id = id;
        this.service = service;
        this.store = store;
        this.work = work;
        listener = new ServerSocket(0, 500, InetAddress.getByName("127.0.0.1"));
        register();
        Threads.start("heartbeat", () -> {
            while (true) {
                Thread.sleep(1200);
                register();
            }
        });
        Threads.start("replica", () -> {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Threads.start("replica call", () -> serve(socket));
            }
        });
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void register() {
        store.put("servers", id, Json.map("svc", service, "addr", address(), "zone", "colombo-a", "version", "v1",
            "slots", 6, "state", "ready", "warmup_left_ms", 0, "seq", ++sequence, "born", born));
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Http request = Http.readRequest(in);
                if (request == null) return;
                String expected = request.header("X-Expect-Instance");
                if (expected != null && !expected.equals(id)) {
                    write(out, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + id + "\r\nX-Not-Executed: 1\r\n"
                        + "X-Request-Id: " + request.header("X-Request-Id") + "\r\nContent-Length: 0\r\n\r\n", new byte[0]);
                    continue;
                }
                work.run(request, out);
            }
        }
    }

    static void answer(OutputStream out, Http request, int status, byte[] body) throws IOException {
        write(out, "HTTP/1.1 " + status + " X\r\nContent-Type: text/plain\r\nX-Request-Id: " + request.header("X-Request-Id") + "\r\nX-Response-Signature: s."
            + request.header("X-Request-Id") + "\r\nKeep-Alive: timeout=30\r\nContent-Length: " + body.length + "\r\n\r\n", body);
    }

    static void write(OutputStream out, String head, byte[] body) throws IOException {
        byte[] bytes = new byte[head.length() + body.length];
        System.arraycopy(head.getBytes(StandardCharsets.ISO_8859_1), 0, bytes, 0, head.length());
        System.arraycopy(body, 0, bytes, head.length(), body.length);
        out.write(bytes);
        out.flush();
    }
}
