import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One entry instance: the process that the deploy file starts, with its settings. */
final class Entry {
    final String name;
    final int http;
    private final int ready;
    private final int peer;
    private final Path directory;
    private final int store;
    private final Record record;
    private Process process;
    private int starts;

    Entry(String name, Path directory, int store, Record record) throws IOException {
        this.name = name;
        this.directory = directory;
        this.store = store;
        this.record = record;
        http = freePort();
        ready = freePort();
        peer = freePort();
    }

    private static int freePort() throws IOException {
        while (true) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                DatagramSocket datagrams = new DatagramSocket(new InetSocketAddress("127.0.0.1", socket.getLocalPort()))) {
                return socket.getLocalPort();
            } catch (java.net.BindException taken) {
                continue;
            }
        }
    }

    /** Returns the words of the run line of the deploy file. */
    private static List<String> command() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) return Arrays.asList(line.substring(7, line.lastIndexOf('"')).split(" "));
        }
        throw new IOException("no run line in deploy/system.toml");
    }

    void writeSettings() throws IOException {
        Map<String, Object> bounds = Json.map("seed_lag_s", 3, "addr_reuse_s", 2, "contact_ms", 3000, "ack_ms", 4000,
            "catch_up_s", 4, "drain_ms", 2000, "grace_s", 8, "loss_slack_ms", 200, "config_apply_ms", 2000,
            "downgrade_ms", 250, "max_skew_ms", 5000, "strict_revoke", true, "revoke_ms", 5000, "retry_ratio", 0.2,
            "retry_window_s", 10, "retry_extra", 54, "warmup_excess", 1.5, "warmup_margin", 5, "evacuate_ms", 5000,
            "recovery_s", 12, "event_delay_ms", 120, "retry_after_s", 4.6);
        Map<String, Object> settings = Json.map("node", name, "role", "entry", "class", "edge", "serves", List.of("edge"),
            "ip", "127.0.0.1", "zone", "colombo-a", "region", "lk-west", "zones", Json.map("colombo-a", "lk-west"),
            "listen", Json.map("http", "127.0.0.1:" + http, "ready", "127.0.0.1:" + ready),
            "port_range", List.of(peer, peer), "seeds", List.of(), "bootstrap", true, "counts_as_loss", false,
            "limits", Json.map("cpu_share", 0.75, "cores", 1, "memory_mb", 280, "max_fds", 4100, "link_mbps", 1000.0, "disk_mb", 0),
            "data_dir", null, "discovery", "platform", "entry", "vip", "heartbeat_ms", 1200,
            "fault_tolerance", Json.map("machines", 1, "zones", 1, "regions", 0), "bounds", bounds,
            "platform", Json.map("addr", "127.0.0.1:" + store, "form", "objects", "writes_per_s", 400, "reads_per_s", 2000,
                "retention_s", 20, "value_bytes", 1048576, "min_ttl_ms", 1000));
        Files.writeString(settingsPath(), Json.write(settings));
    }

    Path settingsPath() {
        return directory.resolve(name + ".json");
    }

    void start() throws IOException {
        writeSettings();
        List<String> command = new ArrayList<>(command());
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
            .redirectOutput(directory.resolve(name + "-" + ++starts + ".log").toFile());
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("SEQUOIAWHEEL_NODE_FILE", settingsPath().toString());
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        record.line("%s started", name);
    }

    Process process() {
        return process;
    }

    boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", ready), 1000);
            socket.setSoTimeout(1000);
            socket.getOutputStream().write("GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
            Http answer = Http.readHead(socket.getInputStream());
            return answer != null && answer.status() == 200;
        } catch (IOException notReady) {
            return false;
        }
    }

    boolean awaitReady(long millis) throws InterruptedException {
        for (long end = System.nanoTime() + millis * 1_000_000; System.nanoTime() < end; Thread.sleep(50)) {
            if (isReady()) {
                record.line("%s is ready", name);
                return true;
            }
        }
        return false;
    }

    void end() throws InterruptedException {
        if (process == null) return;
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
    }
}
