package io.sequoiawheel.experiment.configuration

import io.sequoiawheel.core.history.CheckBounds
import io.sequoiawheel.core.history.CheckResult
import io.sequoiawheel.core.history.HistoryChecker
import io.sequoiawheel.core.history.HistoryEvent
import io.sequoiawheel.core.history.Promise
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.experiment.Experiment
import io.sequoiawheel.experiment.ExperimentOptions
import io.sequoiawheel.experiment.ExperimentReport
import io.sequoiawheel.experiment.virtual.Statistics
import io.sequoiawheel.experiment.virtual.VirtualTime
import io.sequoiawheel.experiment.virtual.VirtualTime.clock
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/**
 * Distributes accepted changes to every entry instance, at today's size and at the design size of 340 instances and
 * 830 changes a day. Operators race, the store is stale or slow, answers are lost, zones are isolated, instances
 * restart, old messages are delivered again and the acceptor pauses. Faults are injected in overlapping pairs.
 */
class ConfigurationExperiment internal constructor(
    private val sizes: List<ConfigurationScenario.Size>,
) : Experiment {
    constructor() : this(ConfigurationScenario.Size.entries)

    override val name = "configuration"
    override val summary = "Time until accepted changes are in force everywhere, reverts and lost audit entries."

    override fun run(options: ExperimentOptions): ExperimentReport {
        val figures = LinkedHashMap<String, Map<String, Double>>()
        val violations = mutableListOf<String>()
        val scenarios =
            sizes.associateWith {
                ConfigurationScenario.generate(
                    options.seed,
                    it,
                )
            }
        for (policy in ConfigurationPolicy.entries) {
            figures[policy.label] =
                scenarios
                    .map { (size, scenario) ->
                        val result = simulate(options.seed, scenario, policy)
                        if (policy == ConfigurationPolicy.OWN) {
                            violations += result.check.violations.map { "${size.name.lowercase()}: $it" }
                        }
                        result.figures.mapKeys { size.name.lowercase() + it.key.replaceFirstChar(Char::uppercase) }
                    }.reduce { all, next -> all + next }
        }
        val parameters =
            scenarios
                .map { (size, scenario) ->
                    val prefix = size.name.lowercase()
                    mapOf(
                        "${prefix}Instances" to (size.zones * size.perZone).toDouble(),
                        "${prefix}Changes" to scenario.changes.size.toDouble(),
                        "${prefix}Faults" to scenario.faults.size.toDouble(),
                    )
                }.reduce { all, next -> all + next }
        return ExperimentReport(name, options.seed, parameters, figures, violations)
    }

    private class Result(
        val check: CheckResult,
        val figures: Map<String, Double>,
    )

    private fun simulate(
        seed: Long,
        scenario: ConfigurationScenario,
        policy: ConfigurationPolicy,
    ): Result =
        VirtualTime.run {
            val clock = clock()
            val simulation = ConfigurationSimulation(seed, scenario, policy, clock, backgroundScope)
            scenario.faults.forEach { backgroundScope.launch { simulation.inject(it) } }
            simulation.runOperators()
            delay(ConfigurationScenario.RUN_MILLIS + SETTLE_MILLIS - clock.nowMillis())
            simulation.readAudit()
            summarize(simulation, simulation.confirmedEverywhere(), clock.nowMillis())
        }

    private fun summarize(
        simulation: ConfigurationSimulation,
        isConfirmed: Boolean,
        endMillis: Long,
    ): Result {
        val history = simulation.history.snapshot()
        val check = HistoryChecker(CheckBounds(endMillis = endMillis)).check(history)
        val propagationTimes = PropagationTimes(history).measure()
        val storeCalls = simulation.store.callsBySecond()
        val seconds = endMillis / MILLIS_PER_SECOND
        val figures =
            mapOf(
                "accepted" to history.count { it is HistoryEvent.DocumentAccepted }.toDouble(),
                "operatorConflicts" to simulation.operators.conflicts.toDouble(),
                "inForceP50Millis" to Statistics.percentile(propagationTimes, 50.0),
                "inForceP99Millis" to Statistics.percentile(propagationTimes, 99.0),
                "inForceMaximumMillis" to (propagationTimes.maxOrNull() ?: 0).toDouble(),
                "reverts" to check.violations.count { "went back" in it.detail }.toDouble(),
                "lateInstances" to check.violations.count { "was due" in it.detail }.toDouble(),
                "lostAuditEntries" to check.violations.count { "audit trail" in it.detail }.toDouble(),
                "confirmedEverywhere" to (if (isConfirmed) 1.0 else 0.0),
                "factsExaminedP9" to check.examined.getValue(Promise.P9).toDouble(),
                "storeCallsPerSecond" to storeCalls.values.sumOf { it.total }.toDouble() / seconds,
                "storeCallsPerSecondPeak" to (storeCalls.values.maxOfOrNull { it.total } ?: 0).toDouble(),
            )
        return Result(check, figures)
    }

    /** Measures the time until all instances that stayed connected have an accepted generation or a later one. */
    private class PropagationTimes(
        private val history: List<HistoryEvent>,
    ) {
        private val connectionChanges = HashMap<InstanceId, MutableList<Pair<Long, Boolean>>>()
        private val applied = HashMap<Pair<InstanceId, ServiceName>, MutableList<HistoryEvent.DocumentApplied>>()

        fun measure(): List<Long> {
            history.forEach { event ->
                when (event) {
                    is HistoryEvent.EntryConnected -> recordConnection(event.entry, event.atMillis, true)
                    is HistoryEvent.EntryDisconnected -> recordConnection(event.entry, event.atMillis, false)
                    is HistoryEvent.DocumentApplied ->
                        applied.getOrPut(event.entry to event.service) { mutableListOf() } += event
                    else -> Unit
                }
            }
            return history.filterIsInstance<HistoryEvent.DocumentAccepted>().mapNotNull(::propagationMillis)
        }

        private fun recordConnection(
            entry: InstanceId,
            atMillis: Long,
            isConnected: Boolean,
        ) {
            connectionChanges.getOrPut(entry) { mutableListOf() } += atMillis to isConnected
        }

        private fun propagationMillis(accepted: HistoryEvent.DocumentAccepted): Long? {
            val window = accepted.atMillis..accepted.atMillis + MAXIMUM_PROPAGATION_MILLIS
            val connectedThroughout =
                connectionChanges.filterValues { changes ->
                    changes.lastOrNull { it.first < window.first }?.second == true &&
                        changes.none { it.first in window }
                }
            return connectedThroughout.keys.maxOfOrNull { entry ->
                applied[entry to accepted.service]
                    ?.firstOrNull { it.generation >= accepted.generation }
                    ?.let { maxOf(0, it.atMillis - accepted.atMillis) } ?: MAXIMUM_PROPAGATION_MILLIS
            }
        }
    }

    private companion object {
        const val SETTLE_MILLIS = 60_000L
        const val MAXIMUM_PROPAGATION_MILLIS = 60_000L
        const val MILLIS_PER_SECOND = 1_000L
    }
}
