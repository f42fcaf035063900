import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Replicas send additional bytes after some complete responses: the beginning of another response, up to the middle of
 * a header. The check compares the status that each client got with the one that the replica gave.
 */
public final class ExtraBytes {
    private static final int REPLICAS = 4;
    private static final int CLIENTS = 20;
    private static final long RUN_MILLIS = 45_000;

    /** The replicas send additional bytes for a while, several times. */
    private static final long FAULT_MILLIS = 5_000;
    private static final long PERIOD_MILLIS = 7_500;

    /** Share of the replicas that send additional bytes, and of the answers that they do so after. */
    private static final int FAULTY_REPLICAS = 2;
    private static final double EXTRA_SHARE = 0.03;

    /** Shares of the replica's own failures, those of the site's two kinds of request. */
    private static final double UNSAFE_ERROR_SHARE = 0.004;
    private static final double SAFE_ERROR_SHARE = 0.14;

    /** The first bytes of a repeated response, as [Replica.answer] writes it. */
    private static final String EXTRA = "HTTP/1.1 200 X\r\nContent-Type: text/pl";

    private static final Random random = new Random(7);

    public static void main(String[] arguments) throws Exception {
        Threads.exitOnFailure();
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Path directory = Path.of(arguments[1]);
        int result = 2;
        try (Record record = new Record(Path.of(arguments[0], "record.txt"))) {
            Store store = new Store();
            Deployment.configure(store, 7);
            Entry entry = new Entry("edge-1", directory, store.port(), record);
            AtomicInteger extras = new AtomicInteger();
            for (int i = 0; i < REPLICAS; i++) {
                String replica = "i-" + i;
                boolean isFaulty = hasTrouble && i < FAULTY_REPLICAS;
                new Replica(replica, "desk", store, (request, out) -> {
                    Thread.sleep(30);
                    boolean isSafe = request.startLine.startsWith("GET");
                    boolean fails = next() < (isSafe ? SAFE_ERROR_SHARE : UNSAFE_ERROR_SHARE);
                    String id = request.header("X-Request-Id");
                    record.line("%s runs %s and answers %d", replica, id, fails ? 500 : 200);
                    Replica.answer(out, request, fails ? 500 : 200, ((fails ? "failure of " : "answer to ") + id).getBytes());
                    if (isFaulty && record.millis() % PERIOD_MILLIS < FAULT_MILLIS && next() < EXTRA_SHARE) {
                        out.write(EXTRA.getBytes());
                        out.flush();
                        record.line("%s sends %d additional bytes after the answer to %s", replica, EXTRA.length(), id);
                        extras.incrementAndGet();
                    }
                });
            }
            try {
                entry.start();
                if (entry.awaitReady(30_000)) {
                    Thread.sleep(1_000);
                    List<String> broken = run(entry, record);
                    broken.forEach(line -> record.line("MIXED: %s", line));
                    record.line("%d additional pieces, %d answers of another status than the replica's", extras.get(), broken.size());
                    System.out.println(extras + " additional pieces, " + broken.size() + " broken");
                    result = broken.isEmpty() ? 0 : 1;
                }
            } finally {
                entry.end();
            }
        }
        System.exit(result);
    }

    private static synchronized double next() {
        return random.nextDouble();
    }

    private static List<String> run(Entry entry, Record record) throws InterruptedException {
        List<String> broken = Collections.synchronizedList(new ArrayList<>());
        AtomicInteger ids = new AtomicInteger();
        long end = System.nanoTime() + RUN_MILLIS * 1_000_000;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            boolean isSafe = i % 4 != 0;
            clients.add(Threads.start("client", () -> {
                Socket socket = null;
                BufferedInputStream in = null;
                while (System.nanoTime() < end) {
                    String id = "r" + ids.incrementAndGet();
                    try {
                        if (socket == null) {
                            socket = new Socket("127.0.0.1", entry.http);
                            socket.setSoTimeout(4_000);
                            in = new BufferedInputStream(socket.getInputStream());
                        }
                        OutputStream out = socket.getOutputStream();
                        record.line("client sends %s, %s", id, isSafe ? "safe" : "unsafe");
                        out.write(request(id, isSafe).getBytes());
                        Http answer = Http.readHead(in);
                        if (answer == null) throw new EOFException("connection closed");
                        answer.readBody(in, true);
                        String signature = answer.header("X-Response-Signature");
                        record.line("client gets %d for %s, signature %s, body '%s'", answer.status(), id, signature, new String(answer.body));
                        String detail = check(id, answer, signature);
                        if (detail != null) broken.add(detail);
                    } catch (IOException failure) {
                        record.line("client gets no answer for %s: %s", id, failure.getMessage());
                        if (socket != null) socket.close();
                        socket = null;
                    }
                    Thread.sleep(40);
                }
            }));
        }
        for (Thread client : clients) client.join();
        return broken;
    }

    /** Returns how the answer breaks the rule, or null: its body names the run that it comes from. */
    private static String check(String id, Http answer, String signature) {
        if (signature == null) return answer.status() < 300 ? id + ": a success without a signature" : null;
        String body = new String(answer.body);
        boolean isFailure = body.equals("failure of " + id);
        boolean isSuccess = body.equals("answer to " + id);
        if (!isFailure && !isSuccess) return id + ": the body is not that of a replica";
        int status = isFailure ? 500 : 200;
        return answer.status() == status ? null : id + ": the client got " + answer.status() + ", the replica gave " + status;
    }

    private static String request(String id, boolean isSafe) {
        return (isSafe ? "GET /lookup/x" : "POST /record/x") + " HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nX-Request-Id: " + id
            + "\r\nX-Deadline-Ms: 2500\r\nApi-Key: " + Deployment.KEY + "\r\n" + (isSafe ? "\r\n" : "Content-Length: 8\r\n\r\na pledge");
    }
}
