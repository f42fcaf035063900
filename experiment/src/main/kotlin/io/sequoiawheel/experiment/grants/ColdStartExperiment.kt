package io.sequoiawheel.experiment.grants

import io.sequoiawheel.experiment.Experiment
import io.sequoiawheel.experiment.ExperimentOptions
import io.sequoiawheel.experiment.ExperimentReport
import io.sequoiawheel.experiment.simulation.SimulatedReplica
import io.sequoiawheel.experiment.simulation.SimulatedService

/** Replicas that start cold, and one that turns cold without a restart, under load from several entry instances. */
class ColdStartExperiment : Experiment {
    override val name = "cold-start"
    override val summary = "Replicas start and turn cold under load; none may get more than it bears."

    override fun run(options: ExperimentOptions): ExperimentReport {
        val watches = ArrayList<Watch>()
        val scenario =
            Scenario(options, DURATION_MILLIS) { service ->
                watches += Watch(service)
                KILLS.forEach { (at, index) -> service.loop.schedule(at) { service.kill(service.replicas[index]) } }
                service.loop.schedule(COLD_AT_MILLIS) { service.replicas[COLD_INDEX].engine.turnCold() }
            }
        val runs = scenario.run()
        val figures =
            runs.keys.zip(watches).associate { (policy, watch) ->
                policy to runs.getValue(policy).measures.figures() + watch.figures()
            }
        val own = watches.first()
        return ExperimentReport(
            name,
            options.seed,
            mapOf("load" to options.load, "requestsPerSecond" to scenario.ratePerSecond),
            figures,
            List(own.overloadedStarts) { "a replica that had just started got more than it bears and failed" },
        )
    }

    /** Observes restarts and how soon a started replica has as much work as the others. */
    private class Watch(
        private val service: SimulatedService,
    ) {
        private val starts = service.replicas.map { it.engine.startId }.toMutableList()
        private val isInjected = HashSet<Int>()
        private val startedAt = HashMap<Int, Double>()
        private val fairAfter = ArrayList<Double>()
        private var coldFailures = 0

        /** Failures of replicas during their first warming that nobody injected. */
        var overloadedStarts = 0
            private set

        init {
            KILLS.forEach { (at, index) -> service.loop.schedule(at) { isInjected += index } }
            service.loop.repeat(SAMPLE_MILLIS) { sample() }
        }

        fun figures(): Map<String, Double> {
            val sorted = fairAfter.sorted()
            return mapOf(
                "overloadedStarts" to overloadedStarts.toDouble(),
                "failuresAfterTurningCold" to coldFailures.toDouble(),
                "startsWithFairShare" to fairAfter.size.toDouble(),
                "startsWithoutFairShare" to startedAt.size.toDouble(),
                "fairShareAfterMedianMillis" to (sorted.getOrNull(sorted.size / 2) ?: 0.0),
                "fairShareAfterMaximumMillis" to (sorted.lastOrNull() ?: 0.0),
            )
        }

        private fun sample() {
            if (service.loop.now > DURATION_MILLIS) return
            service.replicas.forEach { replica ->
                if (starts[replica.index] != replica.engine.startId) restarted(replica)
                if (replica.index in startedAt) checkShare(replica)
            }
        }

        private fun restarted(replica: SimulatedReplica) {
            val wasWarming = replica.index in startedAt
            starts[replica.index] = replica.engine.startId
            when {
                isInjected.remove(replica.index) -> Unit
                replica.index == COLD_INDEX && !wasWarming -> coldFailures++
                else -> overloadedStarts++
            }
            startedAt[replica.index] = service.loop.now + service.topology.engine.cold.restartMillis
        }

        private fun checkShare(replica: SimulatedReplica) {
            val others = service.replicas.filter { it !== replica && it.index !in startedAt }
            val mean = others.map { it.engine.memoryTokens }.average()
            if (replica.engine.memoryTokens < mean * FAIR_SHARE) return
            fairAfter += service.loop.now - startedAt.getValue(replica.index)
            startedAt.remove(replica.index)
        }
    }

    private companion object {
        const val DURATION_MILLIS = 300_000.0
        const val SAMPLE_MILLIS = 250.0
        const val FAIR_SHARE = 0.8
        const val COLD_AT_MILLIS = 150_000.0
        const val COLD_INDEX = 3

        /** When which replica is restarted. */
        val KILLS = listOf(90_000.0 to 0, 100_000.0 to 4, 200_000.0 to 5)
    }
}
