package io.sequoiawheel.relay

import io.sequoiawheel.core.relay.RolloutBounds
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.atomic.AtomicInteger

/** Rollouts of a plain service at one or two instances, each with one failure. */
class RolloutTest {
    private val fixture = RelayFixture(RolloutBounds(canaryShare = 0.1, canaryMargin = 50, rollbackMillis = 5_000))
    private val others = ArrayList<RelayDaemon>()
    private val oldCalls = AtomicInteger()
    private val newCalls = AtomicInteger()
    private var number = 0

    @Volatile
    private var isBad = false

    @AfterEach
    fun close() {
        others.forEach { it.close() }
        fixture.close()
    }

    private fun start(vararg names: String) {
        fixture.configure(version = 5)
        for (id in listOf("old-1", "old-2")) {
            fixture.replica(id) { request, answer ->
                oldCalls.incrementAndGet()
                answer.sendComplete(request, "old")
            }
        }
        fixture.startOnPort(FreePorts.allocate())
        names.forEach { others += fixture.startInstance(it, FreePorts.allocate()) }
    }

    private fun startNewVersion(version: String = "v2") {
        for (id in listOf("$version-1", "$version-2")) {
            fixture.replica(id, version = version) { request, answer ->
                newCalls.incrementAndGet()
                answer.sendComplete(request, "new $version", if (isBad) "500 Internal Server Error" else "200 OK")
            }
        }
    }

    private fun order(
        version: String = "v2",
        seconds: Double = DURATION_SECONDS,
    ) = fixture.store.put(
        KIND,
        SERVICE,
        Json.parseToJsonElement("""{"svc":"$SERVICE","to":"$version","duration_s":$seconds}"""),
    )

    private fun call(instance: RelayDaemon = fixture.daemon): String =
        fixture.send(fixture.request("/safe/a", id = "id-${number++}"), instance)

    private fun state(): String? = fixture.store.status(KIND, SERVICE)?.text("state")

    private fun JsonObject.text(name: String) = get(name)?.jsonPrimitive?.content

    /** Sends requests to all instances until [isDone], for longer than the order takes. */
    private fun callUntil(isDone: () -> Boolean) {
        val end = System.nanoTime() + LIMIT_NANOS
        while (!isDone() && System.nanoTime() < end) {
            (listOf(fixture.daemon) + others).forEach { instance -> runCatching { call(instance) } }
            Thread.sleep(PAUSE_MILLIS)
        }
        assertTrue(isDone(), "status ${fixture.store.status(KIND, SERVICE)}")
    }

    // Replicas of the new version are listed before the order is, and received requests like all others.
    @Test
    fun `a version without an order receives nothing`() {
        start()
        startNewVersion()
        RelayFixture.awaitTrue("the replicas are listed") { fixture.store.isWatchedToEnd("servers") }
        repeat(50) { call() }
        assertEquals(0, newCalls.get())
    }

    @Test
    fun `a good version is completed and receives all requests`() {
        start()
        startNewVersion()
        order()
        callUntil { state() == "complete" }
        val before = oldCalls.get()
        repeat(20) { assertTrue(call().endsWith("new v2")) }
        assertEquals(before, oldCalls.get())
        assertEquals("v2", fixture.store.status(KIND, SERVICE)?.text("to"))
    }

    @Test
    fun `a version that answers with errors is reverted and receives nothing more`() {
        isBad = true
        start()
        startNewVersion()
        order()
        callUntil { state() == "reverted" }
        val before = newCalls.get()
        repeat(20) { assertTrue(call().endsWith("old")) }
        assertEquals(before, newCalls.get())
        assertTrue(before < MAXIMUM_BAD, "$before requests to the bad version")
        assertTrue(
            "failed" in
                fixture.store
                    .status(KIND, SERVICE)
                    ?.text("reason")
                    .orEmpty(),
        )
    }

    // The order stays with an old replica list that has no other version to compare with.
    @Test
    fun `an order for the version in force is complete at once`() {
        start()
        order(version = "v1")
        RelayFixture.awaitTrue("the order is complete") { state() == "complete" }
        assertTrue(call().endsWith("old"))
    }

    // The instance that wrote the first status was the only one that could write the verdict.
    @Test
    fun `another instance writes the verdict after the first one ended`() {
        start("entry-2", "entry-3")
        startNewVersion()
        order()
        callUntil { state() == "active" }
        others.removeFirst().close()
        others.removeFirst().close()
        callUntil { state() == "complete" }
    }

    // A write whose answer was lost counted as failed and was repeated until the order had expired.
    @Test
    fun `a verdict is written although the answers to the writes are lost`() {
        start()
        startNewVersion()
        fixture.store.losesStatusAnswers = true
        order()
        callUntil { state() == "complete" }
        val states =
            fixture.store
                .statuses(KIND)
                .filterIsInstance<JsonObject>()
                .map { it.text("state") }
        assertEquals(listOf("active", "active", "complete"), states)
    }

    // A conflict without a newer revision, since the store lost the other write, left the order without a status.
    @Test
    fun `a status is written although the first writes are answered with 409`() {
        start()
        startNewVersion()
        fixture.store.statusConflicts = 2
        order()
        callUntil { state() == "complete" }
        assertEquals(0, fixture.store.statusConflicts)
    }

    // The verdict of the first order, which the second one replaced, was carried out for the second version.
    @Test
    fun `the newer of two orders in succession is carried out`() {
        start()
        startNewVersion()
        order(seconds = LONG_SECONDS)
        callUntil { state() == "active" && newCalls.get() > 0 }
        startNewVersion("v3")
        order(version = "v3")
        callUntil { state() == "complete" }
        assertEquals("v3", fixture.store.status(KIND, SERVICE)?.text("to"))
        repeat(20) { assertTrue(call().endsWith("new v3")) }
    }

    // An order that was written while the watch had no history to continue from was carried out too late.
    @Test
    fun `an order is carried out although the history of the store is compacted`() {
        start()
        startNewVersion()
        fixture.store.expireHistory()
        order()
        fixture.store.expireHistory()
        callUntil { state() == "active" }
        fixture.store.expireHistory()
        callUntil { state() == "complete" }
        repeat(20) { assertTrue(call().endsWith("new v2")) }
    }

    // While the store was down, nothing but the instances' own evidence could stop the requests to a bad version.
    @Test
    fun `a version that turns bad while the store is down receives nothing more`() {
        start()
        startNewVersion()
        order(seconds = LONG_SECONDS)
        callUntil { newCalls.get() >= FIRST_CALLS }
        fixture.store.isDown = true
        isBad = true
        val before = newCalls.get()
        callUntil { newCalls.get() >= before + FIRST_CALLS }
        val end = System.nanoTime() + QUIET_AFTER_NANOS
        while (System.nanoTime() < end) call()
        val stopped = newCalls.get()
        repeat(50) { call() }
        assertEquals(stopped, newCalls.get())
        fixture.store.isDown = false
        RelayFixture.awaitTrue("the verdict is written") { state() == "reverted" }
    }

    // An instance that knew neither the order nor its verdict sent requests to a reverted version.
    @Test
    fun `an instance that starts after the verdict sends nothing to a reverted version`() {
        isBad = true
        start()
        startNewVersion()
        order()
        callUntil { state() == "reverted" }
        val before = newCalls.get()
        val late = fixture.startInstance("entry-9", FreePorts.allocate()).also { others += it }
        repeat(30) { assertTrue(call(late).endsWith("old")) }
        assertEquals(before, newCalls.get())
    }

    // A store restored from a copy from before the verdict let the bad version receive requests again.
    @Test
    fun `a verdict that a restored store lost is written again`() {
        isBad = true
        start()
        startNewVersion()
        order()
        RelayFixture.awaitTrue("the order is active") { state() == "active" }
        val copy = fixture.store.snapshot()
        callUntil { state() == "reverted" }
        val before = newCalls.get()
        fixture.store.restore(copy, OUTAGE_MILLIS)
        RelayFixture.awaitTrue("the verdict is written again") { state() == "reverted" }
        repeat(20) { call() }
        assertEquals(before, newCalls.get())
    }

    // An object that cannot be read ended the watch of the kind.
    @Test
    fun `an order that cannot be read is ignored`() {
        start()
        startNewVersion()
        fixture.store.put(KIND, SERVICE, Json.parseToJsonElement("""{"svc":"$SERVICE","to":7,"duration_s":"long"}"""))
        repeat(30) { assertTrue(call().endsWith("old")) }
        order()
        callUntil { state() == "complete" }
    }

    private companion object {
        const val KIND = "rollouts"
        const val SERVICE = "desk"
        const val DURATION_SECONDS = 6.5
        const val LONG_SECONDS = 30.0
        const val PAUSE_MILLIS = 10L
        const val LIMIT_NANOS = 12_000_000_000L
        const val MAXIMUM_BAD = 50
        const val FIRST_CALLS = 3
        const val OUTAGE_MILLIS = 300L

        /** The bound on requests to a bad version after its 50th bad answer. */
        const val QUIET_AFTER_NANOS = 5_000_000_000L
    }
}
