package io.sequoiawheel.experiment.claims

import io.sequoiawheel.core.history.CheckResult
import io.sequoiawheel.core.history.HistoryChecker
import io.sequoiawheel.core.history.HistoryEvent
import io.sequoiawheel.core.history.Promise
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.experiment.Experiment
import io.sequoiawheel.experiment.ExperimentOptions
import io.sequoiawheel.experiment.ExperimentReport
import io.sequoiawheel.experiment.virtual.Statistics
import io.sequoiawheel.experiment.virtual.VirtualTime
import io.sequoiawheel.experiment.virtual.VirtualTime.clock
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/**
 * Sends non-idempotent calls through the serving pipeline of several entry instances. The same key is sent to two
 * instances and zones, answers are lost or late, the store has outages, claimants crash, and runs exceed their
 * deadline. Faults are injected in overlapping pairs.
 */
class AtMostOnceExperiment : Experiment {
    override val name = "at-most-once"
    override val summary = "Non-idempotent calls under faults in twos, with claims, without, and without read-back."

    override fun run(options: ExperimentOptions): ExperimentReport {
        val plans = CallPlan.generate(options.seed, RUN_MILLIS)
        val faults = FaultPlan.generate(options.seed, RUN_MILLIS)
        val results = AtMostOnceSimulation.Policy.entries.associateWith { simulate(options.seed, plans, faults, it) }
        val own = results.getValue(AtMostOnceSimulation.Policy.OWN)
        return ExperimentReport(
            experiment = name,
            seed = options.seed,
            parameters =
                mapOf(
                    "calls" to plans.size.toDouble(),
                    "callsSentTwice" to plans.count { it.duplicateSlot != null }.toDouble(),
                    "faults" to faults.size.toDouble(),
                ),
            policies = results.entries.associate { (policy, result) -> policy.label to result.figures },
            violations = own.check.violations.map { it.toString() },
        )
    }

    private class Result(
        val check: CheckResult,
        val figures: Map<String, Double>,
    )

    private fun simulate(
        seed: Long,
        plans: List<CallPlan>,
        faults: List<FaultPlan>,
        policy: AtMostOnceSimulation.Policy,
    ): Result =
        VirtualTime.run {
            val clock = clock()
            val simulation = AtMostOnceSimulation(seed, plans, policy, clock, backgroundScope)
            faults.forEach { backgroundScope.launch { simulation.inject(it) } }
            val caller = Caller(simulation, clock)
            val callResults =
                plans
                    .flatMap { plan ->
                        listOfNotNull(
                            async {
                                delay(plan.atMillis)
                                plan.key to caller.send(plan, plan.slot, "first")
                            },
                            plan.duplicateSlot?.let { slot ->
                                async {
                                    delay(plan.atMillis + plan.duplicateDelayMillis)
                                    plan.key to caller.send(plan, slot, "twin")
                                }
                            },
                        )
                    }.awaitAll()
            delay(SETTLE_MILLIS)
            summarize(simulation, callResults)
        }

    private fun summarize(
        simulation: AtMostOnceSimulation,
        callResults: List<Pair<String, Caller.CallResult>>,
    ): Result {
        val history = simulation.history.snapshot()
        val check = HistoryChecker().check(history)
        val runs = history.filterIsInstance<HistoryEvent.RunStarted>().groupBy { it.request.value.substringBefore('-') }
        val resultsByKey = callResults.groupBy({ it.first }, { it.second })
        val answered =
            callResults.filter {
                it.second.code == ResultCode.OK || it.second.code == ResultCode.OK_RECORDED
            }
        val storeCalls = simulation.store.callsBySecond().values
        val figures =
            mapOf(
                "callsRunTwiceOrMore" to runs.count { it.value.size > 1 }.toDouble(),
                "callsNeverRun" to resultsByKey.keys.count { it !in runs }.toDouble(),
                "sendersAnsweredShare" to answered.size.toDouble() / callResults.size,
                "sendersOutcomeUnknown" to
                    callResults
                        .count {
                            it.second.code == ResultCode.OUTCOME_UNKNOWN
                        }.toDouble(),
                "sendersInProgressAtEnd" to
                    callResults
                        .count {
                            it.second.code == ResultCode.IN_PROGRESS
                        }.toDouble(),
                "notRunAnswers" to callResults.sumOf { it.second.notRunAnswers }.toDouble(),
                "answerP50Millis" to Statistics.percentile(answered.map { it.second.elapsedMillis }, 50.0),
                "answerP99Millis" to Statistics.percentile(answered.map { it.second.elapsedMillis }, 99.0),
                "storeWritesPerCall" to storeCalls.sumOf { it.writes }.toDouble() / resultsByKey.size,
                "storeReadsPerCall" to storeCalls.sumOf { it.reads }.toDouble() / resultsByKey.size,
            )
        return Result(check, figures + guaranteeFigures(check))
    }

    private fun guaranteeFigures(check: CheckResult): Map<String, Double> =
        listOf(Promise.P4, Promise.P5, Promise.P6)
            .flatMap { promise ->
                val broken = check.violations.count { it.promise == promise }
                listOf(
                    "violations$promise" to broken.toDouble(),
                    "factsExamined$promise" to check.examined.getValue(promise).toDouble(),
                )
            }.toMap()

    private companion object {
        const val RUN_MILLIS = 600_000L
        const val SETTLE_MILLIS = 60_000L
    }
}
