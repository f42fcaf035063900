package io.sequoiawheel.relay

import io.sequoiawheel.standin.platform.ReplicaStandIn
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonUnquotedLiteral
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Entries among those of the replicas that the relay cannot read, written by others. */
class UnreadableEntryTest {
    private val fixture = RelayFixture()
    private val others = ArrayList<RelayDaemon>()

    @AfterEach
    fun close() {
        others.forEach { it.close() }
        fixture.close()
    }

    private fun replica(id: String): ReplicaStandIn =
        fixture.replica(id) { request, answer -> answer.sendComplete(request, id) }

    /** Returns the entry of a replica with an extra field of [depth] containers that start with [open]. */
    @OptIn(ExperimentalSerializationApi::class)
    private fun nestedEntry(
        depth: Int,
        open: String,
        close: String,
        address: String = "127.0.0.1:1",
    ): JsonElement =
        JsonUnquotedLiteral(
            """{"svc":"${RelayFixture.PLAIN}","addr":"$address","zone":"a","version":"v1","slots":6,"state":"ready",
              "warmup_left_ms":0,"seq":1,"born":1,"extra":${open.repeat(depth)}1${close.repeat(depth)}}""",
        )

    private fun putNestedEntries() {
        for (depth in DEPTHS) {
            fixture.store.put("servers", "lists-$depth", nestedEntry(depth, "[", "]"))
            fixture.store.put("servers", "objects-$depth", nestedEntry(depth, "{\"a\":", "}"))
        }
    }

    private fun answeringReplicas(instance: RelayDaemon = fixture.daemon): Set<String> =
        List(CALLS) { number ->
            fixture.send(fixture.request("/safe/a", id = "id-$number"), instance).substringAfterLast("\r\n")
        }.toSet()

    // An instance that started while such an entry was listed never became ready.
    @Test
    fun `deeply nested entries do not keep an instance from starting`() {
        replica("r-1")
        putNestedEntries()
        fixture.configure()
        fixture.start()
        assertEquals(setOf("r-1"), answeringReplicas())
    }

    // One such entry failed every watch and listing, so that requests went on to replicas that had left.
    @Test
    fun `other replicas are followed after deeply nested entries were written`() {
        val first = replica("r-1")
        fixture.configure()
        fixture.start()
        putNestedEntries()
        replica("r-2")
        fixture.register("r-1", RelayFixture.PLAIN, first, state = "draining")
        RelayFixture.awaitTrue("the draining and the new replica are followed") { answeringReplicas() == setOf("r-2") }
    }

    // An old entry would keep a replica in use of which nothing is known any more.
    @Test
    fun `a replica whose entry becomes deeply nested is not used`() {
        val first = replica("r-1")
        replica("r-2")
        fixture.configure()
        fixture.start()
        fixture.store.put("servers", "r-1", nestedEntry(DEPTHS.first(), "[", "]", first.address))
        RelayFixture.awaitTrue("the unreadable replica is not used") { answeringReplicas() == setOf("r-2") }
    }

    // A hub passes on entries as it read them, so one entry could stop its whole zone.
    @Test
    fun `instances that watch a hub follow other replicas after deeply nested entries were written`() {
        val first = replica("r-1")
        fixture.configure()
        fixture.startOnPort(FreePorts.allocate())
        for (number in 2..INSTANCES) others += fixture.startInstance("entry-$number", FreePorts.allocate())
        RelayFixture.awaitTrue("one instance watches the store") {
            val before = fixture.store.calls
            Thread.sleep(WINDOW_MILLIS)
            fixture.store.calls - before <= HUB_CALLS
        }
        putNestedEntries()
        replica("r-2")
        fixture.register("r-1", RelayFixture.PLAIN, first, state = "draining")
        for (instance in others + fixture.daemon) {
            RelayFixture.awaitTrue("all instances follow") { answeringReplicas(instance) == setOf("r-2") }
        }
    }

    private companion object {
        /** Beyond what any object of the platform needs, beyond the limit of a parser, and beyond any call stack. */
        val DEPTHS = listOf(40, 5_000, 200_000)
        const val CALLS = 6
        const val INSTANCES = 3
        const val WINDOW_MILLIS = 1_000L
        const val HUB_CALLS = 3
    }
}
