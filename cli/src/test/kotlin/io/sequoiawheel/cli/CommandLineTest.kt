package io.sequoiawheel.cli

import io.sequoiawheel.core.model.ResultCode
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.io.PrintWriter
import java.io.StringWriter
import java.nio.file.Files
import java.nio.file.Path

class CommandLineTest {
    private val out = StringWriter()
    private val err = StringWriter()

    private fun run(vararg arguments: String): Int =
        CommandLineFactory
            .create()
            .setOut(PrintWriter(out, true))
            .setErr(PrintWriter(err, true))
            .execute(*arguments)

    /** Guards against a documentation page that is out of date with the result codes. */
    @Test
    fun `the documentation page of result codes equals the generated table`() {
        val page = Files.readString(Path.of("..", "docs", "result-codes.md"))
        assertEquals(ResultCodeTable.markdown().trim(), page.trim())
    }

    @Test
    fun `a missing command prints the usage and returns the exit code of usage errors`() {
        assertEquals(ResultCode.USAGE.exitCode, run())
        assertTrue(err.toString().contains("Usage: sequoiawheel"))
    }

    /** Guards against a rejected document for which the exit code is 0 or the fault is not printed. */
    @Test
    fun `an invalid document is rejected with the path of its fault`(
        @TempDir directory: Path,
    ) {
        val file = directory.resolve("document.json")
        Files.writeString(file, """{"service":"writers","kind":"modelEngine","author":"asha"}""")
        assertEquals(ResultCode.DOCUMENT_REJECTED.exitCode, run("document", "check", file.toString()))
        assertTrue(err.toString().contains("$.models"))
    }

    /** Guards against a report that omits an empty list of violations, which programs would read as a missing field. */
    @Test
    fun `an experiment reports its policies and its violations as JSON`() {
        assertEquals(0, run("experiment", "at-most-once", "--seed", "1", "--output", "json"))
        val report = Json.parseToJsonElement(out.toString()).jsonObject
        assertEquals(0, report.getValue("violations").jsonArray.size)
        assertTrue("sequoiawheel" in report.getValue("policies").jsonObject)
    }

    /** Guards against a soak that starts processes before it has checked its options. */
    @Test
    fun `a soak without a duration is a usage error`() {
        assertEquals(ResultCode.USAGE.exitCode, run("soak", "--seconds", "0"))
        assertTrue(err.toString().contains("--seconds"))
    }
}
