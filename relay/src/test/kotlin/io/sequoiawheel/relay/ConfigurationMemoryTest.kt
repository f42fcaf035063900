package io.sequoiawheel.relay

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.nio.file.Path

/**
 * Two instances of one zone, with the heap of a deployed one, receive hundreds of versions of a large configuration:
 * one from the store, the other from the first.
 */
class ConfigurationMemoryTest {
    private val fixture = RelayFixture()
    private val instances = ArrayList<DeployedInstance>()

    @TempDir
    private lateinit var directory: Path

    @AfterEach
    fun close() {
        instances.forEach { it.kill() }
        fixture.close()
    }

    private fun route(
        name: String,
        host: String,
        prefix: String,
    ): JsonElement =
        Json.parseToJsonElement(
            """{"name":"$name","host":"$host","path_prefix":"$prefix","type":"safe","timeout_ms":1200,"slo_ms":150,
            "prio":1,"svc":"${RelayFixture.PLAIN}","attempts":2,"public":false,"resumable":false}""",
        )

    private fun routes(count: Int): List<JsonElement> =
        List(count) { index -> route("route-$index-of-many", "host-$index.example", "/prefix-$index/") }

    private fun workspaces(count: Int): List<JsonElement> =
        List(count) { index ->
            Json.parseToJsonElement("""{"name":"workspace-of-$index","api_keys":["key-of-the-workspace-$index"]}""")
        }

    // A history with a limit on the number of versions filled the heap, and the instance answered nothing any more.
    @ParameterizedTest(name = "{0} routes and {1} workspaces")
    @CsvSource("352,1", "1402,1", "352,4200", "1402,4200")
    fun `hundreds of versions of a large configuration fit into the heap of an instance`(
        routeCount: Int,
        workspaceCount: Int,
    ) {
        fixture.replica("r-1") { request, answer -> answer.sendComplete(request, "world") }
        val routes = routes(routeCount)
        val workspaces = workspaces(workspaceCount)
        fixture.configureLarge(1, routes, workspaces)
        for (name in listOf("entry-1", "entry-2")) instances += DeployedInstance(fixture, directory, name)
        RelayFixture.awaitTrue("both are ready") { instances.all { it.isReady } }
        for (version in 2..VERSIONS) {
            fixture.configureLarge(version, routes, workspaces)
            Thread.sleep(VERSION_INTERVAL_MILLIS)
            if (version % CALL_INTERVAL == 0) assertEquals(List(2) { "200" }, instances.map { it.status("/safe/a") })
        }
        fixture.configureLarge(VERSIONS + 1, routes + route("added", "h.example", "/added/"), workspaces)
        RelayFixture.awaitTrue("both apply the last version") { instances.all { it.status("/added/a") == "200" } }
        for (instance in instances) {
            val heap = instance.heapAfterFullCollections()
            println("$routeCount routes, $workspaceCount workspaces: MiB after full collections $heap")
            assertTrue(
                heap.all {
                    it <= DeployedInstance.HEAP_LIMIT_MEBIBYTES
                },
            ) { "the heap held $heap MiB after full collections" }
            assertEquals("", instance.errors())
        }
    }

    private companion object {
        const val VERSIONS = 300
        const val VERSION_INTERVAL_MILLIS = 30L
        const val CALL_INTERVAL = 50
    }
}
