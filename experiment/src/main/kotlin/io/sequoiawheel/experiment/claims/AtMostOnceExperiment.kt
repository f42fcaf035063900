package io.sequoiawheel.experiment.claims

import io.sequoiawheel.core.history.CheckResult
import io.sequoiawheel.core.history.HistoryChecker
import io.sequoiawheel.core.history.HistoryEvent
import io.sequoiawheel.core.history.Promise
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.experiment.Experiment
import io.sequoiawheel.experiment.ExperimentOptions
import io.sequoiawheel.experiment.ExperimentReport
import io.sequoiawheel.experiment.virtual.Figures
import io.sequoiawheel.experiment.virtual.VirtualTime
import io.sequoiawheel.experiment.virtual.VirtualTime.clock
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/**
 * Non-idempotent calls through the serving pipeline of several entry instances, with the same key at two instances and
 * zones, lost and late answers, outages, dying claimants and runs that outlive their deadline; faults come in twos.
 */
class AtMostOnceExperiment : Experiment {
    override val name = "at-most-once"
    override val summary = "Non-idempotent calls under faults in twos, with claims, without, and without read-back."

    override fun run(options: ExperimentOptions): ExperimentReport {
        val plans = CallPlan.generate(options.seed, RUN_MILLIS)
        val faults = FaultPlan.generate(options.seed, RUN_MILLIS)
        val results = AtMostOnceWorld.Policy.entries.associateWith { simulate(options.seed, plans, faults, it) }
        val own = results.getValue(AtMostOnceWorld.Policy.OWN)
        return ExperimentReport(
            experiment = name,
            seed = options.seed,
            parameters =
                mapOf(
                    "calls" to plans.size.toDouble(),
                    "callsSentTwice" to plans.count { it.twinSlot != null }.toDouble(),
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
        policy: AtMostOnceWorld.Policy,
    ): Result =
        VirtualTime.run {
            val clock = clock()
            val world = AtMostOnceWorld(seed, plans, policy, clock, backgroundScope)
            faults.forEach { backgroundScope.launch { world.strike(it) } }
            val caller = Caller(world, clock)
            val ends =
                plans
                    .flatMap { plan ->
                        listOfNotNull(
                            async {
                                delay(plan.atMillis)
                                plan.key to caller.send(plan, plan.slot, "first")
                            },
                            plan.twinSlot?.let { slot ->
                                async {
                                    delay(plan.atMillis + plan.twinAfterMillis)
                                    plan.key to caller.send(plan, slot, "twin")
                                }
                            },
                        )
                    }.awaitAll()
            delay(SETTLE_MILLIS)
            summarize(world, ends)
        }

    private fun summarize(
        world: AtMostOnceWorld,
        ends: List<Pair<String, Caller.End>>,
    ): Result {
        val history = world.history.snapshot()
        val check = HistoryChecker().check(history)
        val runs = history.filterIsInstance<HistoryEvent.RunStarted>().groupBy { it.request.value.substringBefore('-') }
        val calls = ends.groupBy({ it.first }, { it.second })
        val answered = ends.filter { it.second.code == ResultCode.OK || it.second.code == ResultCode.OK_RECORDED }
        val counts = world.store.callsBySecond().values
        val figures =
            mapOf(
                "callsRunTwiceOrMore" to runs.count { it.value.size > 1 }.toDouble(),
                "callsNeverRun" to calls.keys.count { it !in runs }.toDouble(),
                "sendersAnsweredShare" to answered.size.toDouble() / ends.size,
                "sendersOutcomeUnknown" to ends.count { it.second.code == ResultCode.OUTCOME_UNKNOWN }.toDouble(),
                "sendersInProgressAtEnd" to ends.count { it.second.code == ResultCode.IN_PROGRESS }.toDouble(),
                "notRunAnswers" to ends.sumOf { it.second.notRunAnswers }.toDouble(),
                "answerP50Millis" to Figures.percentile(answered.map { it.second.elapsedMillis }, 50.0),
                "answerP99Millis" to Figures.percentile(answered.map { it.second.elapsedMillis }, 99.0),
                "storeWritesPerCall" to counts.sumOf { it.writes }.toDouble() / calls.size,
                "storeReadsPerCall" to counts.sumOf { it.reads }.toDouble() / calls.size,
            )
        return Result(check, figures + promiseFigures(check))
    }

    private fun promiseFigures(check: CheckResult): Map<String, Double> =
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
