package io.sequoiawheel.relay

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonUnquotedLiteral
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.nio.file.Path
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread

/**
 * Three instances of one zone with the heap of deployed ones, of which one reads the store and passes changes on to the
 * others, while each kind of object has large or many entries of another writer.
 */
class ForeignEntryTest {
    /** How many entries of which size each kind has. */
    enum class Sizes(
        val entries: Int,
        val bytes: Int,
    ) {
        ONE_OF_THE_LARGEST_SIZE(1, 1_047_000),
        A_PAGE(4, 262_144),
        MANY_PAGES(8, 1_047_000),
        THOUSANDS_OF_SMALL_ONES(2_000, 200),
    }

    private val fixture = RelayFixture()
    private val instances = ArrayList<DeployedInstance>()
    private val isOver = AtomicBoolean()

    @TempDir(cleanup = org.junit.jupiter.api.io.CleanupMode.ON_SUCCESS)
    private lateinit var directory: Path

    @AfterEach
    fun close() {
        isOver.set(true)
        instances.forEach { it.kill() }
        fixture.close()
    }

    private fun adjusted(settings: String) =
        settings
            .replace("\"zone\":", "\"contracts\":[\"rollout\"],\"zone\":")
            .replace("\"bounds\":{", "\"bounds\":{\"canary_share\":0.1,\"canary_margin\":5,\"rollback_ms\":3000,")

    /** Returns content of about [size] bytes, in one of the shapes that take most memory once decoded. */
    @OptIn(ExperimentalSerializationApi::class)
    private fun content(
        number: Int,
        size: Int,
        mark: Int = 0,
    ): JsonElement {
        fun list(element: String) = List(size / (element.length + 1)) { element }.joinToString(",", "[", "]")
        val large =
            when (number % SHAPES) {
                0 -> list("1")
                1 -> list("{}")
                2 -> "{" + (0..size / KEY_BYTES).joinToString(",") { "\"k%08d\":1".format(it) } + "}"
                3 -> list("\"\"")
                else -> "\"" + "é".repeat(size / 2) + "\""
            }
        return JsonUnquotedLiteral("""{"svc":7,"addr":["a",$mark],"samples":$large}""")
    }

    private fun name(number: Int) = "m-%05d".format(number)

    private fun putForeignEntries(sizes: Sizes) {
        for (number in 0 until sizes.entries) {
            KINDS.forEachIndexed { index, kind ->
                fixture.store.put(kind, name(number), content(number + index, sizes.bytes))
            }
        }
    }

    /** Writes entries of all kinds again until the test ends. */
    private fun rewriteAllTheTime(sizes: Sizes) =
        thread(isDaemon = true) {
            var mark = 0
            while (!isOver.get()) {
                mark++
                val count = (REWRITTEN_BYTES / sizes.bytes).coerceAtMost(REWRITTEN_ENTRIES)
                for (offset in 0 until count) {
                    val number = (mark * count + offset) % sizes.entries
                    KINDS.forEachIndexed { index, kind ->
                        fixture.store.put(kind, name(number), content(number + index, sizes.bytes, mark))
                    }
                }
                Thread.sleep(REWRITE_MILLIS)
            }
        }

    private fun answering(instance: DeployedInstance): Set<String> =
        List(CALLS) { instance.call("/safe/a", id = "id-$it") }.mapTo(HashSet()) { (status, body) ->
            if (status == "200") body else status
        }

    private fun awaitAnswers(
        what: String,
        expected: Set<String>,
        limitMillis: Long,
    ) {
        val pending = instances.toMutableSet()
        RelayFixture.awaitTrue("$what: $expected", limitMillis) {
            pending.removeIf { answering(it) == expected }
            pending.isEmpty()
        }
    }

    // Four large entries filled the heap while they were listed, so that no instance became ready again.
    @ParameterizedTest(name = "{0}, written again: {1}")
    @CsvSource(
        "ONE_OF_THE_LARGEST_SIZE,false",
        "ONE_OF_THE_LARGEST_SIZE,true",
        "A_PAGE,false",
        "A_PAGE,true",
        "MANY_PAGES,false",
        "MANY_PAGES,true",
        "THOUSANDS_OF_SMALL_ONES,false",
        "THOUSANDS_OF_SMALL_ONES,true",
    )
    fun `instances follow sound entries behind those of other writers, and start again`(
        sizes: Sizes,
        isRepeated: Boolean,
    ) {
        fixture.store.pageSize = if (sizes == Sizes.MANY_PAGES) LARGE_PAGE else SMALL_PAGE
        val first = fixture.replica("a-1") { request, answer -> answer.sendComplete(request, "a-1") }
        fixture.configure(version = 1)
        for (number in 1..INSTANCES) instances += DeployedInstance(fixture, directory, "entry-$number", ::adjusted)
        RelayFixture.awaitTrue("all are ready") { instances.all { it.isReady } }
        putForeignEntries(sizes)
        if (isRepeated) rewriteAllTheTime(sizes)

        fixture.replica("z-1") { request, answer -> answer.sendComplete(request, "z-1") }
        fixture.replica("z-2", zone = "b") { request, answer -> answer.sendComplete(request, "z-2") }
        fixture.register("a-1", RelayFixture.PLAIN, first, state = "draining")
        awaitAnswers("drain", setOf("z-1"), DRAIN_MILLIS)
        fixture.store.put("evacuations", "a", JsonObject(emptyMap()))
        awaitAnswers("evacuation", setOf("z-2"), EVACUATE_MILLIS)
        fixture.configure(version = 2, keys = """["key-1","key-2"]""")
        RelayFixture.awaitTrue("configuration", CONFIGURATION_MILLIS) { instances.all { hasSecondKey(it) } }

        instances.forEach { it.kill() }
        instances.forEach { it.start() }
        RelayFixture.awaitTrue("all are ready again", RECOVERY_MILLIS) { instances.all { it.isReady } }
        awaitAnswers("start of all", setOf("z-2"), DRAIN_MILLIS)
        for (instance in instances) {
            assertTrue("background loop failed" !in instance.output()) { instance.output() }
            assertEquals("", instance.errors())
            val heap = instance.heapAfterFullCollections()
            println("$sizes, written again: $isRepeated: MiB after full collections $heap")
            assertTrue(heap.all { it <= DeployedInstance.HEAP_LIMIT_MEBIBYTES }) { "the heap held $heap MiB" }
        }
    }

    private fun hasSecondKey(instance: DeployedInstance) = instance.call("/safe/a", key = "key-2").first == "200"

    private companion object {
        val KINDS = listOf("servers", "config", "evacuations", "entry-instances", "rollouts")
        const val SHAPES = 5
        const val KEY_BYTES = 14
        const val INSTANCES = 3
        const val CALLS = 8
        const val LARGE_PAGE = 3
        const val SMALL_PAGE = 500
        const val REWRITE_MILLIS = 1_000L
        const val REWRITTEN_BYTES = 1_047_000

        /** For all kinds together, as many writes a second as the store of a deployment takes. */
        const val REWRITTEN_ENTRIES = 240

        /** The bounds in the settings, and those of the deployments for what the settings do not state. */
        const val DRAIN_MILLIS = 2_000L
        const val EVACUATE_MILLIS = 5_000L
        const val CONFIGURATION_MILLIS = 2_000L
        const val RECOVERY_MILLIS = 12_000L
    }
}
