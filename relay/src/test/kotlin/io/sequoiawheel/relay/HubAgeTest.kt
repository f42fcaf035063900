package io.sequoiawheel.relay

import io.sequoiawheel.standin.platform.LinkState
import io.sequoiawheel.standin.platform.ReplicaStandIn
import io.sequoiawheel.standin.platform.StoreLink
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments
import org.junit.jupiter.params.provider.MethodSource
import java.util.concurrent.atomic.AtomicInteger

/** Instances of one zone that watch a hub, whose own link to the store fails while theirs are sound. */
class HubAgeTest {
    /** What changes at the store while the hub does not see it. */
    enum class Change { DRAINING, REMOVED, CONFIGURATION }

    private val fixture = RelayFixture()
    private val hubLink = StoreLink(fixture.store.port)
    private val members = ArrayList<RelayDaemon>()
    private val ids = AtomicInteger()
    private lateinit var hub: RelayDaemon

    @AfterEach
    fun close() {
        (members + hub).forEach { it.close() }
        fixture.close()
        hubLink.close()
    }

    private fun start(count: Int): List<ReplicaStandIn> {
        val replicas =
            listOf("r-1", "r-2").map { id ->
                fixture.replica(id) { request, answer -> answer.sendComplete(request, id) }
            }
        fixture.configure(version = 1)
        hub = fixture.startInstance("entry-1", FreePorts.allocate(), hubLink.port)
        for (number in 2..count + 1) members += fixture.startInstance("entry-$number", FreePorts.allocate())
        RelayFixture.awaitTrue("one instance watches the store") { callsWithin(WINDOW_MILLIS) <= HUB_CALLS }
        return replicas
    }

    private fun callsWithin(millis: Long): Int {
        val before = fixture.store.calls
        Thread.sleep(millis)
        return fixture.store.calls - before
    }

    private fun status(
        instance: RelayDaemon,
        key: String = "key-1",
    ) = fixture
        .send(fixture.request("/safe/a", "id-${ids.incrementAndGet()}", key), instance)
        .substringBefore("\r\n")
        .split(' ')[1]

    // A hub that was cut off served its old list until two of its own calls had failed, 2.5 s after the cut.
    @ParameterizedTest(name = "{0}, {1}, {2} members")
    @MethodSource("cases")
    fun `no instance acts on a list or configuration beyond its bound, however the link of its hub fails`(
        state: LinkState,
        change: Change,
        count: Int,
    ) {
        val replicas = start(count)
        // The latest moment at which the hub notices: its call to the store has just begun.
        val before = fixture.store.calls
        while (fixture.store.calls == before) Thread.sleep(1)
        Thread.sleep(CALL_MILLIS)
        hubLink.state = state
        when (change) {
            Change.DRAINING -> fixture.register("r-1", RelayFixture.PLAIN, replicas.first(), state = "draining")
            Change.REMOVED -> fixture.store.remove("servers", "r-1")
            Change.CONFIGURATION -> fixture.configure(version = 2, keys = """["key-2"]""")
        }
        Thread.sleep(BOUND_MILLIS)
        if (change == Change.CONFIGURATION) {
            members.forEach { assertEquals("200", status(it, "key-2")) }
            members.forEach { assertEquals("401", status(it, "key-1")) }
        } else {
            val requestsBefore = replicas.first().requests.size
            repeat(CALLS) { members.forEach { assertEquals("200", status(it)) } }
            assertEquals(requestsBefore, replicas.first().requests.size)
        }
    }

    // Guards against a bound that is kept by asking the store more often while nothing fails.
    @ParameterizedTest
    @MethodSource("sizes")
    fun `the members of a sound hub send no calls to the store`(count: Int) {
        start(count)
        val calls = callsWithin(COUNTED_MILLIS)
        assertTrue(calls <= COUNTED_MILLIS / WINDOW_MILLIS * HUB_CALLS_PER_SECOND + 1, "$calls calls")
    }

    private companion object {
        /** The bounds on draining and on configurations in the settings of the fixture. */
        const val BOUND_MILLIS = 2_000L
        const val CALL_MILLIS = 15L
        const val CALLS = 6
        const val MANY = 5
        const val HUB_CALLS = 2
        const val WINDOW_MILLIS = 1_000L
        const val COUNTED_MILLIS = 6_000L

        /** A hub confirms its state once a second; the instances renew their own entries and list each other rarely. */
        const val HUB_CALLS_PER_SECOND = 1

        @JvmStatic
        fun cases(): List<Arguments> =
            (LinkState.entries - LinkState.OPEN).flatMap { state ->
                Change.entries.map { Arguments.of(state, it, 1) }
            } + Change.entries.map { Arguments.of(LinkState.CUT, it, MANY) }

        @JvmStatic
        fun sizes() = listOf(1, MANY)
    }
}
