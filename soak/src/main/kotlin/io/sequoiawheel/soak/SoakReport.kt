/*
 * The result of a run, and the files that belong to its violations.
 */
package io.sequoiawheel.soak

import io.sequoiawheel.soak.history.CallEnd
import io.sequoiawheel.soak.history.History
import io.sequoiawheel.soak.history.Promise
import io.sequoiawheel.soak.history.Verdict
import io.sequoiawheel.soak.history.Violation
import io.sequoiawheel.soak.plan.FaultKind
import io.sequoiawheel.soak.plan.FaultPlan
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.useLines

/** The figures of a run, as they are printed. */
@Serializable
data class SoakSummary(
    val seed: Long,
    val program: String,
    val seconds: Int,
    val instances: Int,
    val calls: Map<CallEnd, Int>,
    val tested: Map<Promise, Int>,
    val broken: Map<Promise, Int>,
    val excused: Map<String, Int>,
    val faults: Map<FaultKind, Int>,
    val continued: Int,
    val secondAnswers: Int,
    val directory: String,
    val violations: List<Violation>,
)

class SoakReport(
    private val options: SoakOptions,
    private val plan: FaultPlan,
    private val faults: Map<FaultKind, Int>,
    val history: History,
    val verdict: Verdict,
) {
    fun summary() =
        SoakSummary(
            options.seed,
            options.program?.toString() ?: "own build",
            options.seconds,
            options.layout.instances,
            history.calls.groupingBy { it.end }.eachCount(),
            verdict.tested,
            Promise.entries.associateWith(verdict::count),
            verdict.excused,
            faults,
            verdict.continued,
            history.secondAnswers,
            options.directory.toString(),
            verdict.violations,
        )

    /** Writes plan, summary, history, and the log lines of the requests of all violations. */
    fun write() {
        val directory = options.directory
        Files.writeString(directory.resolve("plan.json"), json.encodeToString(plan))
        Files.writeString(directory.resolve("summary.json"), json.encodeToString(summary()))
        val ids = verdict.violations.map { it.requestId }.filterTo(HashSet()) { it.isNotEmpty() }
        Files.writeString(directory.resolve("history.json"), json.encodeToString(history))
        Files.write(directory.resolve("violations.log"), logLinesOf(ids, directory))
    }

    private fun logLinesOf(
        ids: Set<String>,
        directory: Path,
    ): List<String> {
        val logs = Files.list(directory).use { files -> files.filter { it.extension == "log" }.sorted().toList() }
        return logs.filterNot { it.endsWith("violations.log") }.flatMap { log ->
            log.useLines { lines ->
                lines.filter { line -> ID.findAll(line).any { it.value in ids } }.map { "${log.fileName} $it" }.toList()
            }
        }
    }

    private companion object {
        val json =
            Json {
                prettyPrint = true
                encodeDefaults = true
            }
        val ID = Regex("""q\d+z""")
    }
}
