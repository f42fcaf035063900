package io.sequoiawheel.relay

import io.sequoiawheel.core.relay.DeploymentFeature
import io.sequoiawheel.standin.platform.ReplicaStandIn
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Generations that wait at an instance while a generation of another caller holds the memory of the only engine. */
class GenerationAdmissionTest {
    private val fixture = RelayFixture()
    private val release = CountDownLatch(1)
    private lateinit var engine: ReplicaStandIn

    @AfterEach
    fun close() {
        release.countDown()
        fixture.close()
    }

    private fun start(features: Set<DeploymentFeature> = setOf(DeploymentFeature.SCARCE_CAPACITY)) {
        engine =
            fixture.replica("e-1", RelayFixture.ENGINE) { request, answer ->
                if (request.header("X-Request-Id") == FIRST) {
                    answer.startStream(request)
                    answer.sendEvent(1)
                    release.await(10, TimeUnit.SECONDS)
                    answer.endStream()
                } else {
                    StreamFixture.complete(request, answer)
                }
            }
        fixture.features = features
        fixture.configure(objectiveMillis = 8_000)
        fixture.start()
        CompletableFuture.runAsync { runCatching { fixture.send(request(FIRST, "22000,9000")) } }
        RelayFixture.awaitTrue("the engine is in use") { FIRST in received() }
    }

    private fun request(
        id: String,
        tokens: String = "3000,748",
    ) = fixture.request(StreamFixture.RESUMABLE, id, extra = "X-Token-Usage: $tokens\r\n")

    private fun received() = engine.requests.mapNotNull { it.header("X-Request-Id") }

    private fun sendSecond() = CompletableFuture.supplyAsync { fixture.send(request(SECOND)) }

    // Where capacity is not scarce, requests were never held.
    @Test
    fun `without the feature a generation is sent at once`() {
        start(emptySet())
        val response = sendSecond()
        RelayFixture.awaitTrue("the request was sent") { SECOND in received() }
        assertTrue(response.get(5, TimeUnit.SECONDS).startsWith("HTTP/1.1 200"))
    }

    // A request that is queued at an engine cannot be overtaken or sent elsewhere.
    @Test
    fun `a generation waits until the engine has memory for it`() {
        start()
        val response = sendSecond()
        Thread.sleep(HELD_MILLIS)
        assertEquals(listOf(FIRST), received())
        release.countDown()
        assertTrue(response.get(5, TimeUnit.SECONDS).startsWith("HTTP/1.1 200"))
    }

    // Reports that stay as they are must not hold a request until its deadline.
    @Test
    fun `a generation is sent after its longest wait`() {
        start()
        assertTrue(sendSecond().get(5, TimeUnit.SECONDS).startsWith("HTTP/1.1 200"))
        assertEquals(listOf(FIRST, SECOND), received())
    }

    // A request that is sent after its caller has left occupies an engine for nobody.
    @Test
    fun `nothing is sent for a caller that left while its request waited`() {
        start()
        fixture.connect().use { socket ->
            socket.getOutputStream().write(request(SECOND).toByteArray())
            Thread.sleep(HELD_MILLIS)
        }
        Thread.sleep(HELD_MILLIS)
        release.countDown()
        Thread.sleep(LONGEST_WAIT_MILLIS)
        assertEquals(listOf(FIRST), received())
    }

    // A caller that waits at an instance that is leaving loses time that it could use elsewhere.
    @Test
    fun `an instance that shuts down refuses what waits at once, and it never runs`() {
        start()
        val response = sendSecond()
        Thread.sleep(HELD_MILLIS)
        val startNanos = System.nanoTime()
        val shutdown = CompletableFuture.runAsync { runBlocking { fixture.daemon.leave() } }
        assertTrue(response.get(5, TimeUnit.SECONDS).startsWith("HTTP/1.1 503"))
        val millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos)
        assertTrue(millis < LONGEST_WAIT_MILLIS - HELD_MILLIS, "refused after $millis ms")
        release.countDown()
        shutdown.get(10, TimeUnit.SECONDS)
        assertEquals(listOf(FIRST), received())
    }

    // Callers repeat what waited at an instance that was killed, so it must not run.
    @Test
    fun `nothing is sent for requests that waited at an instance that ended`() {
        start()
        CompletableFuture.runAsync { runCatching { fixture.send(request(SECOND)) } }
        Thread.sleep(HELD_MILLIS)
        fixture.daemon.close()
        release.countDown()
        Thread.sleep(LONGEST_WAIT_MILLIS)
        assertEquals(listOf(FIRST), received())
    }

    private companion object {
        const val FIRST = "id-first"
        const val SECOND = "id-second"

        /** Much longer than a request takes to reach a replica on loopback, and shorter than the longest wait. */
        const val HELD_MILLIS = 400L

        /** A quarter of the 5 s that callers of the fixture wait, and some time more. */
        const val LONGEST_WAIT_MILLIS = 1_500L
    }
}
