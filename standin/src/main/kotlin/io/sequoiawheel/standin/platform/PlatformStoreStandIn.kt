/*
 * A stand-in for the platform's object store on loopback, with listings, watches, conditional writes and a change
 * history that can be expired. It implements the store's HTTP protocol and can simulate outages, missing responses and
 * a restore from an older snapshot.
 */
package io.sequoiawheel.standin.platform

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.net.InetSocketAddress
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** The last state of an object whose writes were lost in a restore; [spec] is null if the object was removed. */
class LostWrite(
    val kind: String,
    val name: String,
    val spec: JsonElement?,
)

/** A snapshot of the store after its first [changes] changes. */
class StoreSnapshot internal constructor(
    internal val changes: Int,
)

class PlatformStoreStandIn : AutoCloseable {
    private class Change(
        val kind: String,
        val revision: Long,
        val target: JsonObject,
        val isDeleted: Boolean,
        val isBySystem: Boolean,
    ) {
        val name: String
            get() =
                target
                    .getValue("meta")
                    .jsonObject
                    .getValue("name")
                    .jsonPrimitive.content
    }

    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private val objects = LinkedHashMap<Pair<String, String>, JsonObject>()
    private val history = ArrayList<Change>()
    private val allChanges = ArrayList<Change>()
    private var era = 1L
    private var revision = 1L
    private var firstRevision = 1L
    private val watchedRevisions = HashMap<String, Long>()
    private val executor = Executors.newCachedThreadPool()
    private val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0)

    /** While set, every call is answered with 503, also the watches that were already waiting. */
    @Volatile
    var isDown = false
        set(value) {
            lock.withLock {
                field = value
                changed.signalAll()
            }
        }

    /** While set, no call is answered. */
    @Volatile
    var isUnresponsive = false

    /** If set, responses report this era instead of the actual one. */
    @Volatile
    var eraOverride: String? = null

    /** Maximum number of objects in one page of a listing. */
    @Volatile
    var pageSize = 500

    /** Called after each page of a listing except the last is assembled, before the page is sent. */
    @Volatile
    var afterPage: () -> Unit = {}

    /** While set, a status is written but the call is not answered. */
    @Volatile
    var losesStatusAnswers = false

    /** Number of the next writes of a status that are answered with 409 and do nothing. */
    @Volatile
    var statusConflicts = 0

    /** The rate at which bodies of responses are sent. */
    val link = StoreLinkRate()

    /** Number of calls received so far. */
    @Volatile
    var calls = 0
        private set

    val port: Int get() = server.address.port

    init {
        server.executor = executor
        server.createContext("/v1/objects/", ::handle)
        server.start()
    }

    /** Writes an object on behalf of the operator or a replica. */
    fun put(
        kind: String,
        name: String,
        spec: JsonElement,
    ) = lock.withLock { store(kind, name, spec) }

    /** Removes an object. */
    fun remove(
        kind: String,
        name: String,
    ) = lock.withLock { delete(kind, name) }

    /** Returns the status of an object, or null if there is none. */
    fun status(
        kind: String,
        name: String,
    ): JsonObject? = lock.withLock { objects[kind to name]?.get("status") as? JsonObject }

    /** Returns the states of the objects of [kind] so far, in the order of their changes. */
    fun statuses(kind: String): List<JsonElement?> =
        lock.withLock { allChanges.filter { it.kind == kind }.map { it.target["status"] } }

    /** Returns the names of the objects of [kind]. */
    fun names(kind: String): List<String> = lock.withLock { objects.keys.filter { it.first == kind }.map { it.second } }

    /**
     * Whether the latest watch of [kind] started after the last change of that kind, so that the client that sent it
     * has applied the change.
     */
    fun isWatchedToEnd(kind: String): Boolean =
        lock.withLock {
            val lastChange = allChanges.lastOrNull { it.kind == kind }?.revision ?: 0
            (watchedRevisions[kind] ?: -1) >= lastChange
        }

    /** Expires the change history, so that watches from earlier revisions get 410. */
    fun expireHistory() =
        lock.withLock {
            history.clear()
            firstRevision = ++revision
            changed.signalAll()
        }

    /** Takes a snapshot of the current state for [restore]. */
    fun snapshot(): StoreSnapshot = lock.withLock { StoreSnapshot(allChanges.size) }

    /**
     * Simulates an outage of [outageMillis] followed by a restore from [snapshot]. Revisions continue from the
     * snapshot, so they are assigned again. Returns the writes of the operator and the replicas since the snapshot, for
     * [replay]; the writes of the system are lost.
     */
    fun restore(
        snapshot: StoreSnapshot,
        outageMillis: Long,
    ): List<LostWrite> {
        isDown = true
        Thread.sleep(outageMillis)
        return lock.withLock {
            val lost = allChanges.drop(snapshot.changes)
            allChanges.removeAll(lost.toSet())
            history.removeAll(lost.toSet())
            revision = allChanges.lastOrNull()?.revision ?: 1
            objects.clear()
            allChanges.forEach { change ->
                val key = change.kind to change.name
                if (change.isDeleted) objects.remove(key) else objects[key] = change.target
            }
            era++
            watchedRevisions.clear()
            isDown = false
            changed.signalAll()
            lost
                .filterNot { it.isBySystem }
                .associateBy { it.kind to it.name }
                .map { (key, change) ->
                    LostWrite(key.first, key.second, change.target["spec"].takeIf { !change.isDeleted })
                }
        }
    }

    /** Repeats the writes lost in a restore, in the order of [writes], with a pause before each. */
    fun replay(
        writes: List<LostWrite>,
        pauseMillis: Long = 0,
    ) = writes.forEach { write ->
        Thread.sleep(pauseMillis)
        val spec = write.spec
        if (spec == null) remove(write.kind, write.name) else put(write.kind, write.name, spec)
    }

    override fun close() {
        isUnresponsive = false
        server.stop(0)
        executor.shutdownNow()
    }

    private fun handle(exchange: HttpExchange) {
        calls++
        while (isUnresponsive) Thread.sleep(UNRESPONSIVE_POLL_MILLIS)
        val segments =
            exchange.requestURI.path
                .removePrefix("/v1/objects/")
                .split('/')
        val kind = segments[0]
        val name = segments.getOrNull(1)
        val query =
            exchange.requestURI.rawQuery.orEmpty().split('&').associate {
                it.substringBefore('=') to it.substringAfter('=')
            }
        val body = exchange.requestBody.readBytes().decodeToString()
        val (status, text) =
            when {
                isDown -> UNAVAILABLE to "{}"
                exchange.requestMethod == "GET" && "watch" in query -> watch(kind, query)
                exchange.requestMethod == "GET" -> list(kind, query["since_rev"])
                segments.getOrNull(2) == STATUS -> writeStatus(kind, name.orEmpty(), body)
                else -> write(exchange.requestMethod, kind, name, body)
            }
        if (losesStatusAnswers && segments.getOrNull(2) == STATUS) return exchange.close()
        val bytes = text.toByteArray()
        exchange.responseHeaders.set("Content-Type", "application/json")
        exchange.responseHeaders.set("Store-Era", eraOverride ?: era.toString())
        exchange.sendResponseHeaders(status, bytes.size.toLong())
        exchange.responseBody.use { link.send(bytes, it) }
    }

    private fun list(
        kind: String,
        afterName: String?,
    ): Pair<Int, String> {
        var hasMore = false
        val page =
            lock.withLock {
                val remaining = objects.filterKeys { it.first == kind && it.second > afterName.orEmpty() }
                val names = remaining.keys.sortedBy { it.second }
                hasMore = names.size > pageSize
                buildJsonObject {
                    put("entries", buildJsonArray { names.take(pageSize).forEach { add(remaining.getValue(it)) } })
                    put("has_more", JsonPrimitive(hasMore))
                    put("at", JsonPrimitive(revision))
                }
            }
        if (hasMore) afterPage()
        return OK to page.toString()
    }

    private fun watch(
        kind: String,
        query: Map<String, String>,
    ): Pair<Int, String> =
        lock.withLock {
            val start = query.getValue("watch").toLong()
            val startEra = era
            var nanos = TimeUnit.MILLISECONDS.toNanos(query["wait_ms"]?.toLong() ?: 0)
            watchedRevisions[kind] = start
            while (true) {
                if (isDown) return UNAVAILABLE to "{}"
                if (start < firstRevision || start > revision || era != startEra) return GONE to "{}"
                val events = history.filter { it.kind == kind && it.revision > start }
                if (events.isNotEmpty() || nanos <= 0) return OK to changes(events)
                nanos = changed.awaitNanos(nanos)
            }
            @Suppress("UNREACHABLE_CODE")
            error("unreachable")
        }

    private fun changes(events: List<Change>): String =
        buildJsonObject {
            put(
                "events",
                buildJsonArray {
                    events.forEach {
                        add(
                            buildJsonObject {
                                put("deleted", JsonPrimitive(it.isDeleted))
                                put("object", it.target)
                            },
                        )
                    }
                },
            )
            put("at", JsonPrimitive(revision))
        }.toString()

    private fun write(
        method: String,
        kind: String,
        name: String?,
        body: String,
    ): Pair<Int, String> =
        lock.withLock {
            if (method == "DELETE") {
                delete(kind, name.orEmpty(), isBySystem = true)
                return OK to "{}"
            }
            val fields = Json.parseToJsonElement(body).jsonObject
            val target =
                name ?: fields
                    .getValue("meta")
                    .jsonObject
                    .getValue("name")
                    .jsonPrimitive.content
            val existing = objects[kind to target]
            if (method == "POST" && existing != null) return CONFLICT to existing.toString()
            OK to store(kind, target, fields.getValue("spec"), isBySystem = true).toString()
        }

    private fun writeStatus(
        kind: String,
        name: String,
        body: String,
    ): Pair<Int, String> =
        lock.withLock {
            val existing = objects[kind to name] ?: return MISSING to "{}"
            if (statusConflicts > 0) {
                statusConflicts--
                return CONFLICT to existing.toString()
            }
            val fields = Json.parseToJsonElement(body).jsonObject
            val condition = fields["meta"]?.jsonObject?.get("revision")
            val meta = existing.getValue("meta").jsonObject
            if (condition != null && condition != meta["revision"]) return CONFLICT to existing.toString()
            if (existing["status"] == fields["status"]) return OK to existing.toString()
            val newMeta = JsonObject(meta + ("revision" to JsonPrimitive(++revision)))
            val target = JsonObject(existing + mapOf("meta" to newMeta, "status" to fields.getValue("status")))
            objects[kind to name] = target
            record(Change(kind, revision, target, isDeleted = false, isBySystem = true))
            OK to target.toString()
        }

    private fun store(
        kind: String,
        name: String,
        spec: JsonElement,
        isBySystem: Boolean = false,
    ): JsonObject {
        revision++
        val target =
            buildJsonObject {
                put(
                    "meta",
                    buildJsonObject {
                        put("name", JsonPrimitive(name))
                        put("revision", JsonPrimitive(revision))
                        put("created", JsonPrimitive(revision))
                        put("finalizers", buildJsonArray {})
                        put("deletion_pending", JsonPrimitive(false))
                    },
                )
                put("spec", spec)
                put("status", JsonNull)
            }
        objects[kind to name] = target
        record(Change(kind, revision, target, isDeleted = false, isBySystem))
        return target
    }

    private fun delete(
        kind: String,
        name: String,
        isBySystem: Boolean = false,
    ) {
        val target = objects.remove(kind to name) ?: return
        record(Change(kind, ++revision, target, isDeleted = true, isBySystem))
    }

    private fun record(change: Change) {
        history += change
        allChanges += change
        changed.signalAll()
    }

    private companion object {
        const val OK = 200
        const val CONFLICT = 409
        const val GONE = 410
        const val MISSING = 404
        const val STATUS = "status"
        const val UNAVAILABLE = 503
        const val UNRESPONSIVE_POLL_MILLIS = 20L
    }
}
