package io.sequoiawheel.relay

import io.sequoiawheel.core.relay.DeploymentFeature
import io.sequoiawheel.standin.platform.ReceivedRequest
import io.sequoiawheel.standin.platform.ReplicaAnswer
import io.sequoiawheel.standin.platform.ReplicaStandIn
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.atomic.AtomicBoolean

/** The priority class with which generations arrive at engines. */
class PriorityClassTest {
    private val fixture = RelayFixture()

    @AfterEach
    fun close() = fixture.close()

    private fun engine(
        id: String,
        behaviour: (ReceivedRequest, ReplicaAnswer) -> Unit = StreamFixture.complete,
    ): ReplicaStandIn =
        fixture.replica(id, RelayFixture.ENGINE) { request, answer ->
            if (request.target == "/v1/kv-move") {
                answer.sendComplete(request, """{"session":"h-1","created":1}""")
            } else {
                behaviour(request, answer)
            }
        }

    private fun send(
        tokens: String,
        path: String = StreamFixture.RESUMABLE,
        extra: String = "",
    ) = fixture.send(fixture.request(path, extra = "X-Token-Usage: $tokens\r\n$extra"))

    private fun start(features: Set<DeploymentFeature>) {
        fixture.features = features
        fixture.configure()
        fixture.start()
        RelayFixture.awaitTrue("the share of the retry budget is known") { fixture.daemon.knowsInstances }
    }

    private fun classesAt(vararg replicas: ReplicaStandIn) =
        replicas.flatMap { it.requests }.filter { !it.target.startsWith("/v1/") }.map { it.header("X-Priority-Class") }

    // Deployments with enough capacity must be served as before.
    @Test
    fun `no class is sent unless the settings ask for it`() {
        val replica = engine("e-1")
        start(emptySet())
        send("2200,8", extra = "X-Priority-Class: 0\r\n")
        assertEquals(listOf(null), classesAt(replica))
    }

    // A caller could otherwise overtake all others by a header of its own.
    @Test
    fun `the class follows rank and size, not the caller's header`() {
        val replica = engine("e-1")
        start(setOf(DeploymentFeature.SCARCE_CAPACITY))
        send("2200,8", extra = "X-Priority-Class: 0\r\n")
        send("3000,748", extra = "X-Priority-Class: 0\r\n")
        assertEquals(listOf("3", "4"), classesAt(replica))
    }

    // A moved run behind new prompts pauses longer than its caller's objective for the interval between events.
    @Test
    fun `a stream that goes on at another replica is sent before new ones`() {
        val broken = AtomicBoolean()
        val behaviour: (ReceivedRequest, ReplicaAnswer) -> Unit = { request, answer ->
            if (broken.compareAndSet(false, true)) {
                StreamFixture.brokenOff(request, answer)
            } else {
                StreamFixture.complete(request, answer)
            }
        }
        val replicas = arrayOf(engine("e-1", behaviour), engine("e-2", behaviour))
        start(setOf(DeploymentFeature.SCARCE_CAPACITY))
        val response = send("3000,748")
        assertTrue(response.contains("id: ${StreamFixture.LAST_EVENT}\n"), response)
        assertEquals(listOf("0", "4"), classesAt(*replicas).sortedBy { it })
    }
}
