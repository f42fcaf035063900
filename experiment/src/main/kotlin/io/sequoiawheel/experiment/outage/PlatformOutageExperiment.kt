package io.sequoiawheel.experiment.outage

import io.sequoiawheel.core.history.HistoryChecker
import io.sequoiawheel.core.history.Promise
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.experiment.Experiment
import io.sequoiawheel.experiment.ExperimentOptions
import io.sequoiawheel.experiment.ExperimentReport
import io.sequoiawheel.experiment.virtual.Statistics
import io.sequoiawheel.experiment.virtual.VirtualTime
import io.sequoiawheel.experiment.virtual.VirtualTime.clock
import io.sequoiawheel.standin.store.StoreFaults
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.math.ln

/**
 * Simulates a fleet of the design size before, during and after a long outage of the object API, then with a slow
 * object API. Calls that need a claim are refused during the outage. Generations and idempotent calls do not use the
 * object API and are not simulated here.
 */
class PlatformOutageExperiment : Experiment {
    override val name = "platform-outage"
    override val summary = "Calls at the object API, and refusals, during and after a long outage and a slow store."

    override fun run(options: ExperimentOptions): ExperimentReport {
        val violations = mutableListOf<String>()
        val policies =
            OutagePolicy.entries.associate { policy ->
                policy.label to simulate(options.seed, policy, violations)
            }
        val parameters =
            mapOf(
                "instances" to OutageSimulation.INSTANCES.toDouble(),
                "claimedCallsPerSecond" to CALLS_PER_SECOND,
                "outageSeconds" to ((OUTAGE_END_MILLIS - OUTAGE_START_MILLIS) / SECOND).toDouble(),
            )
        return ExperimentReport(name, options.seed, parameters, policies, violations)
    }

    private fun simulate(
        seed: Long,
        policy: OutagePolicy,
        violations: MutableList<String>,
    ): Map<String, Double> =
        VirtualTime.run {
            val simulation = OutageSimulation(seed, policy, clock(), backgroundScope)
            simulation.start()
            backgroundScope.launch { injectFaults(simulation) }
            val random = VirtualTime.random(seed, "arrivals")
            var at = 0.0
            var number = 0
            while (at < END_MILLIS) {
                at += -ln(1 - random.nextDouble()) * SECOND / CALLS_PER_SECOND
                val sendAt = at.toLong()
                val key = "k${number++}"
                val instance = random.nextInt(OutageSimulation.INSTANCES)
                delay(sendAt - testScheduler.currentTime)
                launch { simulation.call(key, instance) }
            }
            delay(SETTLE_MILLIS)
            val check = HistoryChecker().check(simulation.history.snapshot())
            if (policy == OutagePolicy.OWN) violations += check.violations.map { it.toString() }
            figures(simulation) +
                mapOf(
                    "violations" to check.violations.size.toDouble(),
                    "factsExaminedP5" to check.examined.getValue(Promise.P5).toDouble(),
                    "factsExaminedP6" to check.examined.getValue(Promise.P6).toDouble(),
                )
        }

    private suspend fun injectFaults(simulation: OutageSimulation) {
        delay(OUTAGE_START_MILLIS)
        simulation.store.faults = StoreFaults(outage = true)
        delay(OUTAGE_END_MILLIS - OUTAGE_START_MILLIS)
        simulation.store.faults = StoreFaults()
        delay(SLOW_START_MILLIS - OUTAGE_END_MILLIS)
        simulation.store.faults = StoreFaults(latencyMillis = SLOW_LATENCY_MILLIS)
    }

    private fun figures(simulation: OutageSimulation): Map<String, Double> {
        val calls = simulation.store.callsBySecond()

        fun mean(
            from: Long,
            until: Long,
        ) = calls.filterKeys { it in from / SECOND until until / SECOND }.values.sumOf { it.total } * SECOND /
            (until - from).toDouble()
        val outageEndSecond = OUTAGE_END_MILLIS / SECOND
        val afterReturn = calls.filterKeys { it in outageEndSecond..outageEndSecond + RECOVERY_WINDOW_SECONDS }.values
        return mapOf(
            "storeCallsPerSecondBefore" to mean(0, OUTAGE_START_MILLIS),
            "storeCallsPerSecondInOutage" to mean(OUTAGE_START_MILLIS, OUTAGE_END_MILLIS),
            "storeCallsPerSecondPeakAfterReturn" to (afterReturn.maxOfOrNull { it.total } ?: 0).toDouble(),
            "storeRefusalsAfterReturn" to afterReturn.sumOf { it.refused }.toDouble(),
            "storeCallsPerSecondSlow" to mean(SLOW_START_MILLIS, END_MILLIS),
        ) + responseFigures(simulation, "Before", 0, OUTAGE_START_MILLIS) +
            responseFigures(simulation, "InOutage", OUTAGE_START_MILLIS, OUTAGE_END_MILLIS) +
            responseFigures(simulation, "AfterReturn", OUTAGE_END_MILLIS, SLOW_START_MILLIS) +
            responseFigures(simulation, "Slow", SLOW_START_MILLIS, END_MILLIS)
    }

    private fun responseFigures(
        simulation: OutageSimulation,
        phase: String,
        from: Long,
        until: Long,
    ): Map<String, Double> {
        val callResults = simulation.callResults.filter { it.first in from until until }
        val (answered, refused) = callResults.partition { it.second == ResultCode.OK }
        return mapOf(
            "claimedCallsAnsweredShare$phase" to answered.size.toDouble() / maxOf(1, callResults.size),
            "refusalP99Millis$phase" to Statistics.percentile(refused.map { it.third }, 99.0),
            "refusalP50Millis$phase" to Statistics.percentile(refused.map { it.third }, 50.0),
        )
    }

    private companion object {
        const val SECOND = 1_000L
        const val CALLS_PER_SECOND = 168.0
        const val OUTAGE_START_MILLIS = 60_000L
        const val OUTAGE_END_MILLIS = 360_000L
        const val SLOW_START_MILLIS = 420_000L
        const val SLOW_LATENCY_MILLIS = 800L
        const val END_MILLIS = 480_000L
        const val SETTLE_MILLIS = 60_000L
        const val RECOVERY_WINDOW_SECONDS = 30L
    }
}
