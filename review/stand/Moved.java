import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Replicas of a model engine drain while they generate. One of them does not drop a request when its connection closes.
 * The check compares when a run goes on at another replica with how long the replica before works on it.
 */
public final class Moved {
    private static final int ENGINES = 6;
    private static final int CLIENTS = 24;

    /** Time for which the replica before may still work, by the rule. */
    private static final long OVERLAP_MILLIS = 400;

    public static void main(String[] arguments) throws Exception {
        Threads.exitOnFailure();
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        try (Record record = new Record(Path.of(arguments[0], "record.txt"))) {
            Store store = new Store();
            Deployment.configureEngines(store, 7);
            Entry entry = new Entry("edge-1", Path.of(arguments[1]), store.port(), record);
            List<Engine> engines = new ArrayList<>();
            for (int i = 0; i < ENGINES; i++) engines.add(new Engine("w-" + i, i > 0, store, record));
            entry.start();
            if (!entry.awaitReady(30_000)) System.exit(2);
            Thread.sleep(1_000);
            AtomicInteger ids = new AtomicInteger();
            AtomicInteger whole = new AtomicInteger();
            AtomicInteger broken = new AtomicInteger();
            List<Thread> clients = new ArrayList<>();
            long end = System.nanoTime() + 12_000_000_000L;
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(Threads.start("client", () -> {
                    while (System.nanoTime() < end) {
                        String id = "g" + ids.incrementAndGet();
                        try (Socket socket = new Socket("127.0.0.1", entry.http)) {
                            socket.setSoTimeout(20_000);
                            record.line("client sends %s", id);
                            socket.getOutputStream().write(("POST /draft/x HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nX-Request-Id: " + id
                                + "\r\nX-Model: m\r\nX-Token-Usage: 200,800\r\nX-Prefix-Hash: 5c1e07a2:80,9" + id.substring(1)
                                + ":120\r\nX-Deadline-Ms: 39000\r\nApi-Key: " + Deployment.KEY + "\r\nContent-Length: 2\r\n\r\nhi").getBytes());
                            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
                            Http answer = Http.readHead(in);
                            if (answer == null) throw new IOException("closed");
                            try {
                                answer.readBody(in, true);
                            } finally {
                                int events = new String(answer.body).split("\n\n").length;
                                record.line("client gets %d for %s, %d events, %s", answer.status(), id, events, answer.isWhole ? "whole" : "not whole");
                            }
                            whole.incrementAndGet();
                        } catch (IOException failure) {
                            broken.incrementAndGet();
                            record.line("client gets no whole answer for %s: %s", id, failure.getMessage());
                        }
                    }
                }));
            }
            if (hasTrouble) {
                Thread.sleep(4_000);
                engines.get(0).drain();
            }
            for (Thread client : clients) client.join();
            Thread.sleep(1_000);
            int twice = 0;
            for (Engine engine : engines) {
                for (Engine.Run next : engine.runs) {
                    if (!next.isContinued || next.startedMillis == 0) continue;
                    for (Engine other : engines) {
                        for (Engine.Run before : other.runs) {
                            if (other == engine || !before.id.equals(next.id) || before.startedMillis > next.startedMillis) continue;
                            long overlap = before.workedMillis - next.startedMillis;
                            record.line("%s went on at %s, %s worked on it for %d ms more", next.id, engine.id, other.id, overlap);
                            if (overlap > OVERLAP_MILLIS) twice++;
                        }
                    }
                }
            }
            String summary = whole + " whole, " + broken + " not, " + twice + " requests at which the replica before worked for over " + OVERLAP_MILLIS + " ms more";
            record.line("%s", summary);
            System.out.println(summary);
            entry.end();
            System.exit(twice > 0 ? 1 : 0);
        }
    }
}
