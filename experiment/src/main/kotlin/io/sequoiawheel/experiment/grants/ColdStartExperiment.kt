package io.sequoiawheel.experiment.grants

import io.sequoiawheel.experiment.Experiment
import io.sequoiawheel.experiment.ExperimentOptions
import io.sequoiawheel.experiment.ExperimentReport
import io.sequoiawheel.experiment.simulation.SimulatedReplica
import io.sequoiawheel.experiment.simulation.SimulatedService

/** Restarts replicas, and turns one cold without a restart, under load from several entry instances. */
class ColdStartExperiment : Experiment {
    override val name = "cold-start"
    override val summary = "Replicas start and turn cold under load; none may get more than it bears."

    override fun run(options: ExperimentOptions): ExperimentReport {
        val monitors = ArrayList<RestartMonitor>()
        val scenario =
            Scenario(options, DURATION_MILLIS) { service ->
                monitors += RestartMonitor(service)
                KILLS.forEach { (at, index) -> service.loop.schedule(at) { service.kill(service.replicas[index]) } }
                service.loop.schedule(TURN_COLD_AT_MILLIS) { service.replicas[TURN_COLD_INDEX].engine.turnCold() }
            }
        val runs = scenario.run()
        val figures =
            runs.keys.zip(monitors).associate { (policy, monitor) ->
                policy to runs.getValue(policy).measures.figures() + monitor.figures()
            }
        val own = monitors.first()
        return ExperimentReport(
            name,
            options.seed,
            mapOf("load" to options.load, "requestsPerSecond" to scenario.ratePerSecond),
            figures,
            List(own.overloadedStarts) { "a replica that had just started got more than it bears and failed" },
        )
    }

    /** Observes restarts and measures how soon a started replica has its fair share of the work. */
    private class RestartMonitor(
        private val service: SimulatedService,
    ) {
        private val startIds = service.replicas.map { it.engine.startId }.toMutableList()
        private val pendingKills = HashSet<Int>()
        private val warmingSince = HashMap<Int, Double>()
        private val fairShareDelays = ArrayList<Double>()
        private var coldFailures = 0

        /** Failures of warming replicas that were not injected. */
        var overloadedStarts = 0
            private set

        init {
            KILLS.forEach { (at, index) -> service.loop.schedule(at) { pendingKills += index } }
            service.loop.repeat(SAMPLE_INTERVAL_MILLIS) { sample() }
        }

        fun figures(): Map<String, Double> {
            val sorted = fairShareDelays.sorted()
            return mapOf(
                "overloadedStarts" to overloadedStarts.toDouble(),
                "failuresAfterTurningCold" to coldFailures.toDouble(),
                "startsWithFairShare" to fairShareDelays.size.toDouble(),
                "startsWithoutFairShare" to warmingSince.size.toDouble(),
                "fairShareAfterMedianMillis" to (sorted.getOrNull(sorted.size / 2) ?: 0.0),
                "fairShareAfterMaximumMillis" to (sorted.lastOrNull() ?: 0.0),
            )
        }

        private fun sample() {
            if (service.loop.now > DURATION_MILLIS) return
            service.replicas.forEach { replica ->
                if (startIds[replica.index] != replica.engine.startId) recordRestart(replica)
                if (replica.index in warmingSince) checkFairShare(replica)
            }
        }

        private fun recordRestart(replica: SimulatedReplica) {
            val wasWarming = replica.index in warmingSince
            startIds[replica.index] = replica.engine.startId
            when {
                pendingKills.remove(replica.index) -> Unit
                replica.index == TURN_COLD_INDEX && !wasWarming -> coldFailures++
                else -> overloadedStarts++
            }
            warmingSince[replica.index] = service.loop.now + service.topology.engine.cold.restartMillis
        }

        private fun checkFairShare(replica: SimulatedReplica) {
            val others = service.replicas.filter { it !== replica && it.index !in warmingSince }
            val mean = others.map { it.engine.memoryTokens }.average()
            if (replica.engine.memoryTokens < mean * FAIR_SHARE) return
            fairShareDelays += service.loop.now - warmingSince.getValue(replica.index)
            warmingSince.remove(replica.index)
        }
    }

    private companion object {
        const val DURATION_MILLIS = 300_000.0
        const val SAMPLE_INTERVAL_MILLIS = 250.0
        const val FAIR_SHARE = 0.8
        const val TURN_COLD_AT_MILLIS = 150_000.0
        const val TURN_COLD_INDEX = 3

        /** Replica restarts: time in milliseconds and replica index. */
        val KILLS = listOf(90_000.0 to 0, 100_000.0 to 4, 200_000.0 to 5)
    }
}
