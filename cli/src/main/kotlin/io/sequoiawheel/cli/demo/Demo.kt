/*
 * The demo starts both deployments in this process on loopback addresses: stand-ins for the platform and the backend
 * servers, and the real entry daemons. It counts the runs at the stand-ins, compares every token with the engine's
 * output, and checks the guarantees P1 to P9 against the recorded history.
 */
package io.sequoiawheel.cli.demo

import io.sequoiawheel.cli.TextTable
import io.sequoiawheel.core.history.Promise
import io.sequoiawheel.core.model.ResultCode
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.serialization.json.Json
import java.io.PrintWriter

/** Runs the demo. Prints progress lines, a table and, as the last line, one JSON object to [out]. */
class Demo(
    private val out: PrintWriter,
) {
    /** Runs both deployments. Returns `OK`, or `PROMISE_BROKEN` if any of the guarantees P1 to P9 was violated. */
    fun run(): ResultCode {
        // The selector of each server and client occupies a thread of the I/O dispatcher; the default of 64 is too few.
        System.setProperty("kotlinx.coroutines.io.parallelism", IO_PARALLELISM)
        val reports = runBlocking { withContext(Dispatchers.Default) { runAll() } }
        printTable(reports)
        val result = resultOf(reports)
        printLine(Json.encodeToString(DemoResult.serializer(), result))
        return if (result.violations.isEmpty()) ResultCode.OK else ResultCode.PROMISE_BROKEN
    }

    private suspend fun runAll(): List<DeploymentReport> =
        coroutineScope {
            listOf(DemoPlan.kelani, DemoPlan.manjadi)
                .map { plan -> async { DeploymentRun(plan, ::printLine).run() } }
                .awaitAll()
        }

    private fun printTable(reports: List<DeploymentReport>) {
        printLine("")
        val header = listOf("", *reports.map { it.name }.toTypedArray())
        printLine(TextTable.format(header, requestRows(reports) + guaranteeRows(reports)))
        reports.forEach { printLine("${it.name} result codes: ${it.results.codes}") }
        printLine("")
    }

    private fun requestRows(reports: List<DeploymentReport>): List<List<String>> =
        listOf<Pair<String, (DeploymentReport) -> Int>>(
            "requests" to { it.results.requests },
            "completed" to { it.results.completed },
            "refused, not run" to { it.results.refusedNotRun },
            "outcome unknown" to { it.results.unknown },
            "interrupted with count" to { it.results.interrupted },
            "without answer" to { it.results.lost },
            "resumed elsewhere" to { it.results.resumes },
            "sent twice with one key" to { it.results.duplicateSends },
            "duplicated runs" to { it.duplicatedRuns },
        ).map { (label, value) -> listOf(label) + reports.map { value(it).toString() } }

    private fun guaranteeRows(reports: List<DeploymentReport>): List<List<String>> =
        Promise.entries.map { promise -> listOf("$promise") + reports.map { outcomeOf(it, promise) } }

    private fun outcomeOf(
        report: DeploymentReport,
        promise: Promise,
    ): String {
        val broken = report.violations.count { it.promise == promise }
        val occasions = report.occasions(promise)
        return if (broken > 0) "BROKEN $broken times" else "held on $occasions occasions"
    }

    private fun resultOf(reports: List<DeploymentReport>) =
        DemoResult(
            requests = reports.sumOf { it.results.requests },
            completed = reports.sumOf { it.results.completed },
            refusedNotRun = reports.sumOf { it.results.refusedNotRun },
            unknown = reports.sumOf { it.results.unknown },
            interrupted = reports.sumOf { it.results.interrupted },
            lost = reports.sumOf { it.results.lost },
            duplicatedRuns = reports.sumOf { it.duplicatedRuns },
            tokenOrderViolations = reports.sumOf { it.tokenOrderViolations },
            resumed = reports.sumOf { it.results.resumes },
            sentTwice = reports.sumOf { it.results.duplicateSends },
            violations = reports.flatMap { report -> report.violations.map { "${report.name}: $it" } },
        )

    @Synchronized
    private fun printLine(line: String) {
        out.println(line)
        out.flush()
    }

    private companion object {
        const val IO_PARALLELISM = "256"
    }
}
