import java.util.ArrayList;
import java.util.List;

/** The configuration of the small deployment that the cases use: one plain service with two routes, with keys. */
final class Deployment {
    static final String HOST = "ficu95.example";
    static final String KEY = "xd9dnn2ctnfzs989anu6";

    /** The timeout of all routes. */
    static final long TIMEOUT_MILLIS = 1200;

    private Deployment() {}

    static Object route(String name, String prefix, String type, long timeoutMillis, int attempts, String service) {
        return Json.map("name", name, "host", HOST, "path_prefix", prefix, "type", type, "timeout_ms", timeoutMillis,
            "slo_ms", 150, "prio", 2, "svc", service, "attempts", attempts, "public", false, "sticky", false,
            "resumable", false);
    }

    static void configure(Store store, long version) {
        configure(store, version, 0);
    }

    /** Writes a configuration with two routes in use and [more] others. */
    static void configure(Store store, long version, int more) {
        configure(store, version, more, List.of(KEY));
    }

    /** Writes a configuration in which the tenant holds these keys. */
    static void configure(Store store, long version, int more, List<String> keys) {
        List<Object> routes = new ArrayList<>();
        routes.add(route("record", "/record/", "unsafe", TIMEOUT_MILLIS, 1, "desk"));
        routes.add(route("lookup", "/lookup/", "safe", TIMEOUT_MILLIS, 2, "desk"));
        for (int i = 0; i < more; i++) routes.add(route("more-" + i, "/more" + i + "/", "safe", TIMEOUT_MILLIS, 2, "desk"));
        store.put("config", "main", Json.map("version", version, "routes", routes,
            "svcs", List.of(Json.map("name", "desk", "health_path", "/healthz", "max_conns", 100, "proto", "h1", "tls", false,
                "warmup_s", 0.0, "warmup_per_s", 0.0)),
            "limits", Json.map("max_header_bytes", 16384, "max_body_bytes", 4194304, "header_timeout_ms", 3000, "idle_timeout_ms", 15000),
            "tenants", List.of(Json.map("name", "huka270", "api_keys", keys, "prio", 1))));
    }

    /** Writes a configuration with one route to a model engine whose streams may not be resumed. */
    static void configureEngines(Store store, long version) {
        Object route = Json.map("name", "draft", "host", HOST, "path_prefix", "/draft/", "type", "stream", "timeout_ms", 39000,
            "slo_ms", 1800, "prio", 1, "svc", "writers", "attempts", 1, "public", false, "sticky", true, "resumable", false,
            "itl_target_ms", 180);
        Object runtime = Json.map("slots", 24, "kv_capacity", 34252, "kv_token_bytes", 163840, "link_mbps", 24000.0, "moves", true,
            "backups", true, "stride", 4, "most", 12, "pin_ms", 4000.0, "hold_ms", 2000.0, "session_ttl_s", 5.0,
            "model_list", List.of(Json.map("name", "m")));
        store.put("config", "main", Json.map("version", version, "routes", List.of(route),
            "svcs", List.of(Json.map("name", "writers", "health_path", "/healthz", "max_conns", 242, "proto", "h1", "tls", false,
                "warmup_s", 1.0, "warmup_per_s", 37.0, "runtime", runtime)),
            "limits", Json.map("max_header_bytes", 16384, "max_body_bytes", 4194304, "header_timeout_ms", 3000, "idle_timeout_ms", 15000),
            "tenants", List.of(Json.map("name", "huka270", "api_keys", List.of(KEY), "prio", 1))));
    }
}
