/*
 * The demo starts both deployments in this process on loopback addresses: stand-ins for platform and backend servers,
 * and the real entry daemons. It counts runs at the stand-ins, compares every token with what the engines generated,
 * and decides the promises on the recorded history.
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

/** Runs the demo and prints progress, a table and, as the last line, one JSON object to [out]. */
class Demo(
    private val out: PrintWriter,
) {
    /** Runs to the end. Returns `OK`, or `PROMISE_BROKEN` if any of the promises P1 to P9 was broken. */
    fun run(): ResultCode {
        // Each server and client keeps one thread of the I/O dispatcher in its selector; the default of 64 is too few.
        System.setProperty("kotlinx.coroutines.io.parallelism", IO_THREADS)
        val reports = runBlocking { withContext(Dispatchers.Default) { runAll() } }
        printTable(reports)
        val result = resultOf(reports)
        print(Json.encodeToString(DemoResult.serializer(), result))
        return if (result.violations.isEmpty()) ResultCode.OK else ResultCode.PROMISE_BROKEN
    }

    private suspend fun runAll(): List<DeploymentReport> =
        coroutineScope {
            listOf(DemoPlan.kelani, DemoPlan.manjadi)
                .map { plan -> async { DeploymentRun(plan, ::print).run() } }
                .awaitAll()
        }

    private fun printTable(reports: List<DeploymentReport>) {
        print("")
        val header = listOf("", *reports.map { it.name }.toTypedArray())
        print(TextTable.format(header, requestRows(reports) + promiseRows(reports)))
        reports.forEach { print("${it.name} results: ${it.tally.codes}") }
        print("")
    }

    private fun requestRows(reports: List<DeploymentReport>): List<List<String>> =
        listOf<Pair<String, (DeploymentReport) -> Int>>(
            "requests" to { it.tally.requests },
            "completed" to { it.tally.completed },
            "refused, not run" to { it.tally.refusedNotRun },
            "outcome unknown" to { it.tally.unknown },
            "interrupted with count" to { it.tally.interrupted },
            "without answer" to { it.tally.lost },
            "resumed elsewhere" to { it.tally.resumes },
            "sent twice with one key" to { it.tally.repeats },
            "duplicated runs" to { it.duplicatedRuns },
        ).map { (label, value) -> listOf(label) + reports.map { value(it).toString() } }

    private fun promiseRows(reports: List<DeploymentReport>): List<List<String>> =
        Promise.entries.map { promise -> listOf("$promise") + reports.map { verdictOf(it, promise) } }

    private fun verdictOf(
        report: DeploymentReport,
        promise: Promise,
    ): String {
        val broken = report.violations.count { it.promise == promise }
        val occasions = report.occasions(promise)
        return if (broken > 0) "BROKEN $broken times" else "held on $occasions occasions"
    }

    private fun resultOf(reports: List<DeploymentReport>) =
        DemoResult(
            requests = reports.sumOf { it.tally.requests },
            completed = reports.sumOf { it.tally.completed },
            refusedNotRun = reports.sumOf { it.tally.refusedNotRun },
            unknown = reports.sumOf { it.tally.unknown },
            interrupted = reports.sumOf { it.tally.interrupted },
            lost = reports.sumOf { it.tally.lost },
            duplicatedRuns = reports.sumOf { it.duplicatedRuns },
            tokenOrderViolations = reports.sumOf { it.tokenOrderViolations },
            resumed = reports.sumOf { it.tally.resumes },
            sentTwice = reports.sumOf { it.tally.repeats },
            violations = reports.flatMap { report -> report.violations.map { "${report.name}: $it" } },
        )

    @Synchronized
    private fun print(line: String) {
        out.println(line)
        out.flush()
    }

    private companion object {
        const val IO_THREADS = "256"
    }
}
