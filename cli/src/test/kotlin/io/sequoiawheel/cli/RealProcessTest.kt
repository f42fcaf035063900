package io.sequoiawheel.cli

import io.sequoiawheel.core.model.ResultCode
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.nio.file.Path
import java.time.Duration

class RealProcessTest {
    @TempDir
    private lateinit var directory: Path

    private val http = HttpClient.newHttpClient()

    private fun write(
        name: String,
        text: String,
    ): String = Files.writeString(directory.resolve(name), text).toString()

    private fun settings(platform: List<String>): String =
        """{"instanceId":"entry-a","region":"here","zone":"zone-a",
        "listen":{"host":"127.0.0.1","port":0},"peer":{"host":"127.0.0.1","port":0},
        "platform":{"objectApi":"${platform[0]}","instanceList":"${platform[1]}","weightStore":"${platform[2]}"},
        "resumeKey":"MDEyMzQ1Njc4OWFiY2RlZg=="}"""

    private fun request(
        url: String,
        body: String,
    ): HttpRequest =
        HttpRequest
            .newBuilder(URI(url))
            .header("X-Workspace", "example")
            .timeout(Duration.ofSeconds(60))
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build()

    /** Guards against a daemon that ignores a misspelt setting and starts with the default. */
    @Test
    fun `an invalid settings file ends the program with its result code and the path of the field`() {
        val invalid = settings(List(3) { "http://127.0.0.1:1" }).replace("\"zone\"", "\"zoen\"")
        ProgramProcess(directory, "bad", "daemon", "--settings", write("bad.json", invalid)).use { program ->
            assertEquals(ResultCode.INVALID_SETTINGS.exitCode, program.awaitExit())
            assertTrue(program.errorText().contains("6001 INVALID_SETTINGS"))
            assertTrue(program.errorText().contains("$.zoen"))
        }
    }

    /** Guards against a shutdown that cuts off an open stream or exits with a code other than 0. */
    @Test
    fun `after SIGTERM during a stream the daemon completes the stream and exits with 0`() {
        ProgramProcess(directory, "stand-ins", "stand-ins", "--settings", write("s.json", STAND_INS)).use { standIns ->
            standIns.awaitLine(Regex("ready"))
            val platform =
                listOf("object store", "instance list", "weight store").map {
                    standIns.awaitLine(Regex("$it (\\S+)")).groupValues[1]
                }
            val document = """{"service":"writers","kind":"modelEngine","author":"a","models":[{"name":"letters"}]}"""
            val put = arrayOf("document", "put", write("w.json", document), "--platform", platform[0])
            ProgramProcess(directory, "put", *put).use { assertEquals(0, it.awaitExit()) }
            val daemonSettings = write("d.json", settings(platform))
            ProgramProcess(directory, "daemon", "daemon", "--settings", daemonSettings).use { daemon ->
                val address = daemon.awaitLine(Regex("listens on (\\S+)")).groupValues[1]
                awaitServing(address)
                terminateDuringStream(daemon, address)
                assertEquals(0, daemon.awaitExit())
            }
        }
    }

    // The document is accepted and the engine is listed only some time after the daemon has started.
    private fun awaitServing(address: String) {
        val body = """{"model":"letters","prompt":"short","maxTokens":1,"delivery":"whole"}"""
        val probe = request("$address/v1/services/writers/generations", body)
        repeat(200) {
            if (http.send(probe, HttpResponse.BodyHandlers.ofString()).statusCode() == 200) return
            Thread.sleep(100)
        }
        error("the daemon did not answer with status 200")
    }

    private fun terminateDuringStream(
        daemon: ProgramProcess,
        address: String,
    ) {
        val body = """{"model":"letters","prompt":"a long letter","maxTokens":150}"""
        val url = "$address/v1/services/writers/generations"
        val response = http.send(request(url, body), HttpResponse.BodyHandlers.ofLines())
        assertEquals(200, response.statusCode())
        val lines = response.body().iterator()
        val offsets = mutableListOf<Int>()
        var lastData = ""
        while (lines.hasNext()) {
            val line = lines.next()
            if (line.startsWith("id: ")) offsets += line.removePrefix("id: ").toInt()
            if (line.startsWith("data: ")) lastData = line
            if (line == "id: 5") daemon.terminate()
        }
        assertTrue(offsets.size > 6, "the stream ended when the daemon was terminated")
        assertEquals(offsets.indices.toList(), offsets)
        assertEquals("""data: {"code":1000,"tokens":${offsets.size}}""", lastData)
    }

    private companion object {
        const val STAND_INS =
            """{"region":"here","objectStore":{},"instanceList":{},"weightStore":{},
            "backends":[{"id":"engine-1","service":"writers","zone":"zone-a","engine":{"name":"engine-1"}}]}"""
    }
}
