import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A key is taken away. Some seconds later the store comes back from a copy that still has the key, an instance starts
 * anew, and the operator writes the configuration again. The check looks for runs of requests with the key that were sent
 * later than the bound after the acknowledgement.
 */
public final class Restored {
    private static final int INSTANCES = 3;
    private static final int CLIENTS = 6;
    private static final String TAKEN = "wsjnbanfqasnmgkcuyj8";

    /** The bound `revoke_ms`. */
    private static final long REVOKE_MILLIS = 5_000;

    /** The copy is this much older than the acknowledgement, and the store is away for this long. */
    private static final long COPY_MILLIS = 500;
    private static final long AWAY_AFTER_MILLIS = 4_000;
    private static final long AWAY_MILLIS = 500;

    /** The operator writes the configuration again this long after the store is back. */
    private static final long AGAIN_MILLIS = 2_000;
    private static final long REST_MILLIS = 8_000;

    public static void main(String[] arguments) throws Exception {
        Threads.exitOnFailure();
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        try (Record record = new Record(Path.of(arguments[0], "record.txt"))) {
            Store store = new Store();
            List<String> both = List.of(Deployment.KEY, TAKEN);
            Deployment.configure(store, 7, 0, both);
            Map<String, Long> ran = new ConcurrentHashMap<>();
            for (int i = 0; i < 3; i++) {
                String replica = "i-" + i;
                new Replica(replica, "desk", store, (request, out) -> {
                    ran.put(request.header("X-Request-Id"), record.millis());
                    record.line("%s runs %s", replica, request.header("X-Request-Id"));
                    Thread.sleep(10);
                    Replica.answer(out, request, 200, "ok".getBytes());
                });
            }
            List<Entry> entries = new ArrayList<>();
            for (int i = 0; i < INSTANCES; i++) {
                Entry entry = new Entry("edge-" + i, Path.of(arguments[1]), store.port(), record);
                entries.add(entry);
                entry.start();
            }
            for (Entry entry : entries) if (!entry.awaitReady(20_000)) System.exit(2);
            Thread.sleep(2_000);
            Map<String, Long> sent = new ConcurrentHashMap<>();
            long end = record.millis() + COPY_MILLIS + AWAY_AFTER_MILLIS + AWAY_MILLIS + AGAIN_MILLIS + REST_MILLIS;
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) clients.add(client(i, entries.get(i % INSTANCES), end, sent, record));
            store.keepCopy();
            Thread.sleep(COPY_MILLIS);
            Deployment.configure(store, 10, 0, List.of(Deployment.KEY));
            long acknowledged = record.millis();
            record.line("version 10 takes the key away, acknowledged");
            Thread.sleep(AWAY_AFTER_MILLIS);
            if (hasTrouble) {
                record.line("the store is away, edge-2 is killed");
                store.leave();
                entries.get(2).end();
                Thread.sleep(AWAY_MILLIS);
                store.restore();
                record.line("the store is back from the copy");
                entries.get(2).start();
                Thread.sleep(AGAIN_MILLIS);
                Deployment.configure(store, 10, 0, List.of(Deployment.KEY));
                record.line("the operator has written version 10 again");
            }
            for (Thread client : clients) client.join();
            int broken = 0;
            for (String id : ran.keySet()) {
                long late = sent.get(id) - acknowledged;
                if (late <= REVOKE_MILLIS) continue;
                broken++;
                record.line("%s was sent %d ms after the acknowledgement, and ran", id, late);
            }
            String summary = ran.size() + " requests with the key ran, " + broken + " of them sent over " + REVOKE_MILLIS + " ms after it was taken away";
            record.line("%s", summary);
            System.out.println(summary);
            for (Entry entry : entries) entry.end();
            System.exit(broken > 0 ? 1 : 0);
        }
    }

    /** Sends requests with the key that is taken away, each on a new connection. */
    private static Thread client(int number, Entry entry, long end, Map<String, Long> sent, Record record) {
        return Threads.start("client", () -> {
            for (int i = 0; record.millis() < end; i++) {
                String id = "c" + number + "-" + i;
                try (Socket socket = new Socket("127.0.0.1", entry.http)) {
                    socket.setSoTimeout(3_000);
                    sent.put(id, record.millis());
                    record.line("%s is sent to %s", id, entry.name);
                    socket.getOutputStream().write(("POST /record/x HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nX-Request-Id: " + id
                        + "\r\nX-Deadline-Ms: 2500\r\nApi-Key: " + TAKEN + "\r\nContent-Length: 8\r\n\r\na pledge").getBytes());
                    Http answer = Http.readHead(socket.getInputStream());
                    record.line("%s at %s gets %s", id, entry.name, answer == null ? "no answer" : answer.status());
                } catch (IOException failure) {
                    record.line("%s at %s gets no answer: %s", id, entry.name, failure.getMessage());
                }
                Thread.sleep(40);
            }
        });
    }
}
