import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The configuration grows by many routes and then changes in quick succession, several times. */
public final class Versions {
    private static final int CLIENTS = 12;
    private static final int MORE_ROUTES = 350;
    private static final long STORM_MILLIS = 4_000;
    private static final long CHANGE_MILLIS = 330;
    private static final long PAUSE_MILLIS = 3_000;
    private static final int STORMS = 12;
    private static final long RUN_MILLIS = 92_000;

    /** The bound of the rule: the route's timeout and half a second. */
    private static final long ANSWER_MILLIS = Deployment.TIMEOUT_MILLIS + 500;

    /** Unanswered requests that break the rule, if they are also over a quarter of those that reached the timeout. */
    private static final int UNANSWERED = 8;

    /** The run ends early after this number, which leaves no doubt. */
    private static final int ENOUGH = 60;

    public static void main(String[] arguments) throws Exception {
        Threads.exitOnFailure();
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Path directory = Path.of(arguments[1]);
        try (Record record = new Record(Path.of(arguments[0], "record.txt"))) {
            Store store = new Store();
            Deployment.configure(store, 7, 0);
            Entry entry = new Entry("edge-1", directory, store.port(), record);
            for (int i = 0; i < 3; i++) {
                String replica = "i-" + i;
                new Replica(replica, "desk", store, (request, out) -> {
                    record.line("%s runs %s", replica, request.header("X-Request-Id"));
                    Thread.sleep(30);
                    Replica.answer(out, request, 200, "ok".getBytes());
                });
            }
            entry.start();
            if (!entry.awaitReady(20_000)) System.exit(2);
            Thread.sleep(1_000);
            long end = System.nanoTime() + RUN_MILLIS * 1_000_000;
            if (hasTrouble) {
                Threads.start("operator", () -> {
                    long version = 10;
                    Deployment.configure(store, version, MORE_ROUTES);
                    record.line("the configuration has %d routes more, version %d", MORE_ROUTES, version);
                    for (int storm = 0; storm < STORMS; storm++) {
                        record.line("configurations in quick succession, from version %d", version + 3);
                        for (long at = 0; at < STORM_MILLIS; at += CHANGE_MILLIS) {
                            version += 3;
                            Deployment.configure(store, version, MORE_ROUTES);
                            Thread.sleep(CHANGE_MILLIS);
                        }
                        Thread.sleep(PAUSE_MILLIS);
                    }
                    record.line("last version %d", version);
                });
            }
            Map<String, AtomicInteger> ends = new ConcurrentSkipListMap<>();
            AtomicInteger late = new AtomicInteger();
            AtomicInteger unanswered = new AtomicInteger();
            AtomicInteger ids = new AtomicInteger();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                boolean isSafe = i % 3 == 0;
                clients.add(Threads.start("client", () -> {
                    Socket socket = null;
                    BufferedInputStream in = null;
                    while (System.nanoTime() < end && unanswered.get() < ENOUGH) {
                        String id = "r" + ids.incrementAndGet();
                        String what;
                        long sent = System.nanoTime();
                        try {
                            if (socket == null) {
                                socket = new Socket();
                                socket.connect(new java.net.InetSocketAddress("127.0.0.1", entry.http), 1_000);
                                socket.setSoTimeout(2_500);
                                in = new BufferedInputStream(socket.getInputStream());
                            }
                            sent = System.nanoTime();
                            record.line("client sends %s", id);
                            socket.getOutputStream().write(((isSafe ? "GET /lookup/x" : "POST /record/x") + " HTTP/1.1\r\nHost: " + Deployment.HOST
                                + "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 2500\r\nApi-Key: " + Deployment.KEY + "\r\n"
                                + (isSafe ? "\r\n" : "Content-Length: 8\r\n\r\na pledge")).getBytes());
                            Http answer = Http.readHead(in);
                            if (answer == null) throw new EOFException("closed");
                            answer.readBody(in, true);
                            what = "" + answer.status();
                            record.line("client gets %d for %s: %s", answer.status(), id, new String(answer.body));
                            if ("close".equalsIgnoreCase(answer.header("Connection"))) {
                                socket.close();
                                socket = null;
                            }
                        } catch (IOException failure) {
                            what = failure.toString();
                            record.line("client gets no answer for %s: %s", id, what);
                            if (socket != null) socket.close();
                            socket = null;
                        }
                        long millis = (System.nanoTime() - sent) / 1_000_000;
                        if (millis >= Deployment.TIMEOUT_MILLIS) late.incrementAndGet();
                        if (millis >= ANSWER_MILLIS) unanswered.incrementAndGet();
                        ends.computeIfAbsent(what, key -> new AtomicInteger()).incrementAndGet();
                        Thread.sleep(60);
                    }
                }));
            }
            for (Thread client : clients) client.join();
            boolean isBroken = unanswered.get() >= UNANSWERED && unanswered.get() * 4 > late.get();
            String summary = "ends " + ends + ", " + late + " at the timeout, " + unanswered + " without an answer half a second later, process alive "
                + entry.process().isAlive() + ", ready " + entry.isReady();
            record.line("%s", summary);
            System.out.println(summary);
            entry.end();
            System.exit(isBroken ? 1 : 0);
        }
    }
}
