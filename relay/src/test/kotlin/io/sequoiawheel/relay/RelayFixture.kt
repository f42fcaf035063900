package io.sequoiawheel.relay

import io.sequoiawheel.core.model.ZoneName
import io.sequoiawheel.core.relay.DeploymentFeature
import io.sequoiawheel.core.relay.Endpoint
import io.sequoiawheel.core.relay.InstanceSettings
import io.sequoiawheel.core.relay.RolloutBounds
import io.sequoiawheel.core.relay.ServiceBounds
import io.sequoiawheel.standin.platform.PlatformStoreStandIn
import io.sequoiawheel.standin.platform.ReceivedRequest
import io.sequoiawheel.standin.platform.ReplicaAnswer
import io.sequoiawheel.standin.platform.ReplicaStandIn
import kotlinx.collections.immutable.toImmutableSet
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import org.junit.jupiter.api.Assertions.assertTrue
import java.io.ByteArrayOutputStream
import java.net.Socket
import java.net.SocketException

/** A relay instance on loopback with fakes of the platform store and the replicas. */
internal class RelayFixture(
    private val rollout: RolloutBounds? = null,
) : AutoCloseable {
    val store = PlatformStoreStandIn()
    private val replicas = ArrayList<ReplicaStandIn>()
    lateinit var daemon: RelayDaemon
        private set

    /** What the settings of instances started later ask for. */
    var features: Set<DeploymentFeature> = emptySet()

    /** Starts a replica of service [name] that handles requests with [behaviour], and registers it in the store. */
    fun replica(
        id: String,
        name: String = PLAIN,
        zone: String = "a",
        version: String = "v1",
        behaviour: (ReceivedRequest, ReplicaAnswer) -> Unit,
    ): ReplicaStandIn {
        val replica = ReplicaStandIn(behaviour).also { replicas += it }
        register(id, name, replica, state = "ready", zone, version = version)
        return replica
    }

    /** Writes the store entry that a replica writes for itself. */
    fun register(
        id: String,
        name: String,
        replica: ReplicaStandIn,
        state: String,
        zone: String = "a",
        born: Int = 1,
        version: String = "v1",
    ) = store.put(
        "servers",
        id,
        Json.parseToJsonElement(
            """{"svc":"$name","addr":"${replica.address}","zone":"$zone","version":"$version","slots":6,
              "state":"$state","warmup_left_ms":0,"seq":1,"born":$born}""",
        ),
    )

    /** Writes a configuration with the routes that the tests use. */
    fun configure(
        version: Int = 1,
        keys: String = """["key-1"]""",
        timeoutMillis: Int = 1_200,
        objectiveMillis: Int = 150,
        bodyBytes: Int = 65_536,
    ) = store.put(
        "config",
        "main",
        Json.parseToJsonElement(configuration(version, keys, timeoutMillis, objectiveMillis, bodyBytes)),
    )

    /** Writes a configuration as [configure] does, with additional [routes] and [workspaces]. */
    fun configureLarge(
        version: Int,
        routes: List<JsonElement>,
        workspaces: List<JsonElement>,
    ) {
        val spec = Json.parseToJsonElement(configuration(version, """["key-1"]""", timeoutMillis = 1_200)).jsonObject
        val enlarged =
            mapOf(
                "routes" to JsonArray(spec.getValue("routes").jsonArray + routes),
                "tenants" to JsonArray(spec.getValue("tenants").jsonArray + workspaces),
            )
        store.put("config", "main", JsonObject(spec + enlarged))
    }

    /** Writes a configuration as [configure] does, with a route `/sound/` to a service of its own, [service]. */
    fun configureSound(service: String) {
        val spec = Json.parseToJsonElement(configuration(1, """["key-1"]""", timeoutMillis = 1_200)).jsonObject
        val definition = """{"name":"$service","max_conns":100,"warmup_s":0,"warmup_per_s":0}"""
        val enlarged =
            mapOf(
                "routes" to spec.plus("routes", route("safe", "/sound/", service, timeoutMillis = 1_200, attempts = 2)),
                "svcs" to spec.plus("svcs", definition),
            )
        store.put("config", "main", JsonObject(spec + enlarged))
    }

    private fun JsonObject.plus(
        field: String,
        element: String,
    ) = JsonArray(getValue(field).jsonArray + Json.parseToJsonElement(element))

    /** Starts the instance and waits until it is ready. */
    fun start() = startOnPort(0)

    /** Starts the instance, listening for other instances on [peerPort]. */
    fun startOnPort(peerPort: Int) {
        daemon = startInstance("entry-1", peerPort)
    }

    /**
     * Starts another instance, which reaches the store at [storePort], and waits until it is ready. The caller must
     * close it.
     */
    fun startInstance(
        name: String,
        peerPort: Int,
        storePort: Int = store.port,
    ): RelayDaemon {
        val instance = launchInstance(name, peerPort, storePort)
        awaitTrue("$name is ready") { instance.isReady }
        return instance
    }

    /** Starts another instance without waiting until it is ready. The caller must close it. */
    fun launchInstance(
        name: String,
        peerPort: Int,
        storePort: Int = store.port,
    ): RelayDaemon = RelayDaemon(settings(name, peerPort, storePort)).also { runBlocking { it.start() } }

    /** Sends [request] on a new connection and returns everything received until the connection is closed. */
    fun send(
        request: String,
        instance: RelayDaemon = daemon,
    ): String =
        connect(instance).use { socket ->
            socket.getOutputStream().write(request.toByteArray())
            socket.soTimeout = READ_TIMEOUT_MILLIS
            String(socket.getInputStream().readBytes())
        }

    /** Sends [request] on a new connection and returns what was received until the connection was closed or reset. */
    fun receive(request: String): ReceivedStream =
        connect().use { socket ->
            socket.soTimeout = READ_TIMEOUT_MILLIS
            socket.getOutputStream().write(request.toByteArray())
            val received = ByteArrayOutputStream()
            val isReset =
                try {
                    socket.getInputStream().transferTo(received)
                    false
                } catch (reset: SocketException) {
                    true
                }
            ReceivedStream(received.toString(Charsets.ISO_8859_1), isReset)
        }

    /** Opens a connection to [instance]. */
    fun connect(instance: RelayDaemon = daemon): Socket = Socket("127.0.0.1", instance.callerPort)

    /** Returns a request with `Connection: close`. */
    fun request(
        path: String,
        id: String = "id-1",
        key: String? = "key-1",
        extra: String = "",
        body: String = "hello",
    ): String {
        val keyLine = key?.let { "Api-Key: $it\r\n" }.orEmpty()
        return "POST $path HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: $id\r\nX-Deadline-Ms: 5000\r\n$keyLine$extra" +
            "Connection: close\r\nContent-Length: ${body.length}\r\n\r\n$body"
    }

    override fun close() {
        if (::daemon.isInitialized) daemon.close()
        replicas.forEach { it.close() }
        store.close()
    }

    private fun settings(
        name: String,
        peerPort: Int,
        storePort: Int,
    ) = InstanceSettings(
        name,
        "127.0.0.1",
        ZoneName("a"),
        callers = Endpoint("127.0.0.1", 0),
        readiness = Endpoint("127.0.0.1", 0),
        peerPorts = peerPort..peerPort,
        store = Endpoint("127.0.0.1", storePort),
        bounds = ServiceBounds(3_000, 2_000, 8.0, 5_000, 0.2, 54, 10_000, 1.5, 5.0, rollout),
        features = features.toImmutableSet(),
    )

    private fun configuration(
        version: Int,
        keys: String,
        timeoutMillis: Int,
        objectiveMillis: Int = 150,
        bodyBytes: Int = 65_536,
    ) = """{"version":$version,"routes":[
        ${route("unsafe", "/unsafe/", PLAIN, timeoutMillis, 1)},
        ${route("safe", "/safe/", PLAIN, timeoutMillis, 2)},
        ${route("stream", "/stream/", ENGINE, 20_000, 1, objectiveMillis = objectiveMillis)},
        ${route("stream", "/resumable/", ENGINE, 20_000, 3, isResumable = true, objectiveMillis = objectiveMillis)}],
        "svcs":[{"name":"$PLAIN","health_path":"/healthz","max_conns":100,"warmup_s":0,"warmup_per_s":0},
        {"name":"$ENGINE","health_path":"/healthz","max_conns":100,"warmup_s":0,"warmup_per_s":0,
        "runtime":{"slots":24,"kv_capacity":34000,"kv_token_bytes":163840,"stride":4,"moves":true,"backups":true}}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":$bodyBytes,"header_timeout_ms":3000,
        "idle_timeout_ms":15000},
        "tenants":[{"name":"workspace-1","api_keys":$keys}]}"""

    private fun route(
        type: String,
        prefix: String,
        service: String,
        timeoutMillis: Int,
        attempts: Int,
        isResumable: Boolean = false,
        objectiveMillis: Int = 150,
    ) = """{"name":"$type","host":"h.example","path_prefix":"$prefix","type":"$type","timeout_ms":$timeoutMillis,
        "slo_ms":$objectiveMillis,"prio":1,"svc":"$service","attempts":$attempts,"public":false,
        "resumable":$isResumable,"itl_target_ms":180}"""

    /** Returns the value of the gauge that is scraped as [name]. */
    fun gauge(name: String): Long =
        daemon.metrics
            .scrape()
            .lineSequence()
            .first { it.startsWith("sequoiawheel_$name ") }
            .substringAfter(' ')
            .toDouble()
            .toLong()

    companion object {
        const val PLAIN = "desk"
        const val ENGINE = "writers"
        private const val READ_TIMEOUT_MILLIS = 8_000
        private const val AWAIT_MILLIS = 10_000L
        private const val POLL_MILLIS = 5L

        /** Waits until [condition] holds, or fails with the message [what] after [limitMillis]. */
        fun awaitTrue(
            what: String,
            limitMillis: Long = AWAIT_MILLIS,
            condition: () -> Boolean,
        ) {
            val end = System.nanoTime() + limitMillis * 1_000_000
            while (!condition() && System.nanoTime() < end) Thread.sleep(POLL_MILLIS)
            assertTrue(condition(), what)
        }
    }
}
