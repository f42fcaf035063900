/*
 * A stand-in for the platform's object store on loopback: listings, watches, conditional writes and a history that can
 * be dropped. It speaks the store's wire and can be told to be down, to be silent, and to come back from an older copy.
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

/** The last state of an object whose writes were lost with a drill; [spec] is null if the object was removed. */
class LostWrite(
    val kind: String,
    val name: String,
    val spec: JsonElement?,
)

/** A copy of the store after its first [changes] changes. */
class StoreCopy internal constructor(
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
    private val log = ArrayList<Change>()
    private var era = 1L
    private var revision = 1L
    private var firstRevision = 1L
    private val executor = Executors.newCachedThreadPool()
    private val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0)

    /** Answers every call with 503 while set. */
    @Volatile
    var isDown = false

    /** Leaves every call without an answer while set. */
    @Volatile
    var isSilent = false

    /** The era that answers name instead of the true one, if it is set. */
    @Volatile
    var namedEra: String? = null

    /** Objects in one page of a listing. */
    @Volatile
    var pageSize = 500

    /** Runs after each page of a listing that is not the last, before the page is sent. */
    @Volatile
    var afterPage: () -> Unit = {}

    /** Calls received so far. */
    @Volatile
    var calls = 0
        private set

    val port: Int get() = server.address.port

    init {
        server.executor = executor
        server.createContext("/v1/objects/", ::handle)
        server.start()
    }

    /** Writes an object as the operator or a replica does. */
    fun put(
        kind: String,
        name: String,
        spec: JsonElement,
    ) = lock.withLock { store(kind, name, spec) }

    /** Removes an object. */
    fun remove(
        kind: String,
        name: String,
    ) = lock.withLock { drop(kind, name) }

    /** Returns the names of the objects of [kind]. */
    fun names(kind: String): List<String> = lock.withLock { objects.keys.filter { it.first == kind }.map { it.second } }

    /** Forgets all changes so far, so that watches from before get 410. */
    fun dropHistory() =
        lock.withLock {
            history.clear()
            firstRevision = ++revision
            changed.signalAll()
        }

    /** Takes a copy of the store as it is, for [drill]. */
    fun copy(): StoreCopy = lock.withLock { StoreCopy(log.size) }

    /**
     * Is away for [awayMillis] and comes back from [copy]. Revisions are given out again from there. Returns what the
     * operator and the replicas wrote since then, for [rewrite]; what the system wrote is gone.
     */
    fun drill(
        copy: StoreCopy,
        awayMillis: Long,
    ): List<LostWrite> {
        isDown = true
        Thread.sleep(awayMillis)
        return lock.withLock {
            val lost = log.drop(copy.changes)
            log.removeAll(lost.toSet())
            history.removeAll(lost.toSet())
            revision = log.lastOrNull()?.revision ?: 1
            objects.clear()
            log.forEach { change ->
                val key = change.kind to change.name
                if (change.isDeleted) objects.remove(key) else objects[key] = change.target
            }
            era++
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

    /** Writes again what a drill lost, in the order of [writes], with a pause before each. */
    fun rewrite(
        writes: List<LostWrite>,
        pauseMillis: Long = 0,
    ) = writes.forEach { write ->
        Thread.sleep(pauseMillis)
        val spec = write.spec
        if (spec == null) remove(write.kind, write.name) else put(write.kind, write.name, spec)
    }

    override fun close() {
        isSilent = false
        server.stop(0)
        executor.shutdownNow()
    }

    private fun handle(exchange: HttpExchange) {
        calls++
        while (isSilent) Thread.sleep(SILENCE_CHECK_MILLIS)
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
                else -> write(exchange.requestMethod, kind, name, body)
            }
        val bytes = text.toByteArray()
        exchange.responseHeaders.set("Content-Type", "application/json")
        exchange.responseHeaders.set("Store-Era", namedEra ?: era.toString())
        exchange.sendResponseHeaders(status, bytes.size.toLong())
        exchange.responseBody.use { it.write(bytes) }
    }

    private fun list(
        kind: String,
        afterName: String?,
    ): Pair<Int, String> {
        var hasMore = false
        val page =
            lock.withLock {
                val rest = objects.filterKeys { it.first == kind && it.second > afterName.orEmpty() }
                val names = rest.keys.sortedBy { it.second }
                hasMore = names.size > pageSize
                buildJsonObject {
                    put("entries", buildJsonArray { names.take(pageSize).forEach { add(rest.getValue(it)) } })
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
            while (true) {
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
                drop(kind, name.orEmpty(), isBySystem = true)
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

    private fun drop(
        kind: String,
        name: String,
        isBySystem: Boolean = false,
    ) {
        val target = objects.remove(kind to name) ?: return
        record(Change(kind, ++revision, target, isDeleted = true, isBySystem))
    }

    private fun record(change: Change) {
        history += change
        log += change
        changed.signalAll()
    }

    private companion object {
        const val OK = 200
        const val CONFLICT = 409
        const val GONE = 410
        const val UNAVAILABLE = 503
        const val SILENCE_CHECK_MILLIS = 20L
    }
}
