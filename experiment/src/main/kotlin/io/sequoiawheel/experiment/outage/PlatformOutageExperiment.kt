package io.sequoiawheel.experiment.outage

import io.sequoiawheel.core.history.HistoryChecker
import io.sequoiawheel.core.history.Promise
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.experiment.Experiment
import io.sequoiawheel.experiment.ExperimentOptions
import io.sequoiawheel.experiment.ExperimentReport
import io.sequoiawheel.experiment.virtual.Figures
import io.sequoiawheel.experiment.virtual.VirtualTime
import io.sequoiawheel.experiment.virtual.VirtualTime.clock
import io.sequoiawheel.standin.store.StoreFaults
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.math.ln

/**
 * A fleet of the design size before, during and after a long outage of the object API, then with a slow one. Calls that
 * need a claim are refused meanwhile; generations and idempotent calls make no call to the object API and are not
 * simulated here.
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
                "instances" to OutageWorld.INSTANCES.toDouble(),
                "claimedCallsPerSecond" to CALLS_PER_SECOND,
                "outageSeconds" to ((RETURN_MILLIS - OUTAGE_MILLIS) / SECOND).toDouble(),
            )
        return ExperimentReport(name, options.seed, parameters, policies, violations)
    }

    private fun simulate(
        seed: Long,
        policy: OutagePolicy,
        violations: MutableList<String>,
    ): Map<String, Double> =
        VirtualTime.run {
            val world = OutageWorld(seed, policy, clock(), backgroundScope)
            world.start()
            backgroundScope.launch { faults(world) }
            val random = VirtualTime.random(seed, "arrivals")
            var at = 0.0
            var number = 0
            while (at < END_MILLIS) {
                at += -ln(1 - random.nextDouble()) * SECOND / CALLS_PER_SECOND
                val sendAt = at.toLong()
                val key = "k${number++}"
                val instance = random.nextInt(OutageWorld.INSTANCES)
                delay(sendAt - testScheduler.currentTime)
                launch { world.call(key, instance) }
            }
            delay(SETTLE_MILLIS)
            val check = HistoryChecker().check(world.history.snapshot())
            if (policy == OutagePolicy.OWN) violations += check.violations.map { it.toString() }
            figures(world) +
                mapOf(
                    "violations" to check.violations.size.toDouble(),
                    "factsExaminedP5" to check.examined.getValue(Promise.P5).toDouble(),
                    "factsExaminedP6" to check.examined.getValue(Promise.P6).toDouble(),
                )
        }

    private suspend fun faults(world: OutageWorld) {
        delay(OUTAGE_MILLIS)
        world.store.faults = StoreFaults(outage = true)
        delay(RETURN_MILLIS - OUTAGE_MILLIS)
        world.store.faults = StoreFaults()
        delay(SLOW_MILLIS - RETURN_MILLIS)
        world.store.faults = StoreFaults(latencyMillis = SLOW_ANSWER_MILLIS)
    }

    private fun figures(world: OutageWorld): Map<String, Double> {
        val calls = world.store.callsBySecond()

        fun mean(
            from: Long,
            until: Long,
        ) = calls.filterKeys { it in from / SECOND until until / SECOND }.values.sumOf { it.total } * SECOND /
            (until - from).toDouble()
        val returning = RETURN_MILLIS / SECOND
        val afterReturn = calls.filterKeys { it in returning..returning + HERD_SECONDS }.values
        return mapOf(
            "storeCallsPerSecondBefore" to mean(0, OUTAGE_MILLIS),
            "storeCallsPerSecondInOutage" to mean(OUTAGE_MILLIS, RETURN_MILLIS),
            "storeCallsPerSecondPeakAfterReturn" to (afterReturn.maxOfOrNull { it.total } ?: 0).toDouble(),
            "storeRefusalsAfterReturn" to afterReturn.sumOf { it.refused }.toDouble(),
            "storeCallsPerSecondSlow" to mean(SLOW_MILLIS, END_MILLIS),
        ) + answers(world, "Before", 0, OUTAGE_MILLIS) +
            answers(world, "InOutage", OUTAGE_MILLIS, RETURN_MILLIS) +
            answers(world, "AfterReturn", RETURN_MILLIS, SLOW_MILLIS) +
            answers(world, "Slow", SLOW_MILLIS, END_MILLIS)
    }

    private fun answers(
        world: OutageWorld,
        phase: String,
        from: Long,
        until: Long,
    ): Map<String, Double> {
        val ends = world.ends.filter { it.first in from until until }
        val (answered, refused) = ends.partition { it.second == ResultCode.OK }
        return mapOf(
            "claimedCallsAnsweredShare$phase" to answered.size.toDouble() / maxOf(1, ends.size),
            "refusalP99Millis$phase" to Figures.percentile(refused.map { it.third }, 99.0),
            "refusalP50Millis$phase" to Figures.percentile(refused.map { it.third }, 50.0),
        )
    }

    private companion object {
        const val SECOND = 1_000L
        const val CALLS_PER_SECOND = 168.0
        const val OUTAGE_MILLIS = 60_000L
        const val RETURN_MILLIS = 360_000L
        const val SLOW_MILLIS = 420_000L
        const val SLOW_ANSWER_MILLIS = 800L
        const val END_MILLIS = 480_000L
        const val SETTLE_MILLIS = 60_000L
        const val HERD_SECONDS = 30L
    }
}
