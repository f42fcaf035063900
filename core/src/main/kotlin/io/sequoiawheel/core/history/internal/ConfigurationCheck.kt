package io.sequoiawheel.core.history.internal

import io.sequoiawheel.core.history.CheckBounds
import io.sequoiawheel.core.history.HistoryEvent
import io.sequoiawheel.core.history.Promise
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceName

/** Checks P9: accepted generations are in force within the time limit, never revert and have an audit entry. */
internal class ConfigurationCheck(
    private val events: List<HistoryEvent>,
    private val bounds: CheckBounds,
    private val findings: FindingCollector,
) {
    private class Entry(
        var connectedSince: Long?,
        val generations: MutableMap<ServiceName, Long> = HashMap(),
    )

    /** Requires [onlyEntry], or every instance if null, to reach [generation] in time, counted from [sinceMillis]. */
    private class Expectation(
        val service: ServiceName,
        val generation: Long,
        val sinceMillis: Long,
        val onlyEntry: InstanceId? = null,
    )

    private val endMillis = bounds.endMillis ?: events.lastOrNull()?.atMillis ?: 0
    private val entries = LinkedHashMap<InstanceId, Entry>()
    private val accepted = HashMap<ServiceName, MutableMap<Long, HistoryEvent.DocumentAccepted>>()
    private val expectations = ArrayDeque<Expectation>()

    fun run() {
        for (event in events) {
            checkExpectations(event.atMillis)
            when (event) {
                is HistoryEvent.EntryConnected -> connect(event)
                is HistoryEvent.EntryDisconnected -> entries[event.entry]?.connectedSince = null
                is HistoryEvent.ShutdownFinished -> entries.remove(event.entry)
                is HistoryEvent.DocumentAccepted -> accept(event)
                is HistoryEvent.DocumentApplied -> apply(event)
                is HistoryEvent.AuditRead -> audit(event)
                else -> Unit
            }
        }
        checkExpectations(Long.MAX_VALUE)
    }

    private fun connect(event: HistoryEvent.EntryConnected) {
        entries.getOrPut(event.entry) { Entry(null) }.connectedSince = event.atMillis
        accepted.forEach { (service, generations) ->
            expectations.addLast(Expectation(service, generations.keys.max(), event.atMillis, event.entry))
        }
    }

    private fun accept(event: HistoryEvent.DocumentAccepted) {
        val generations = accepted.getOrPut(event.service) { sortedMapOf() }
        val highest = generations.keys.maxOrNull() ?: 0
        findings.record(Promise.P9, event.generation == highest + 1) {
            "${event.service} went from accepted generation $highest to ${event.generation}"
        }
        val highestVersion = generations[highest]?.documentVersion ?: 0
        findings.record(Promise.P9, event.documentVersion > highestVersion) {
            "${event.service} accepted document version ${event.documentVersion} after $highestVersion"
        }
        generations[event.generation] = event
        expectations.addLast(Expectation(event.service, event.generation, event.atMillis))
    }

    private fun apply(event: HistoryEvent.DocumentApplied) {
        val entry = entries.getOrPut(event.entry) { Entry(null) }
        val before = entry.generations[event.service] ?: 0
        findings.record(Promise.P9, event.generation > before) {
            "${event.entry} went back from generation $before to ${event.generation} of ${event.service}"
        }
        findings.record(Promise.P9, accepted[event.service]?.containsKey(event.generation) == true) {
            "${event.entry} applied generation ${event.generation} of ${event.service}, which was not accepted"
        }
        entry.generations[event.service] = event.generation
    }

    /** Checks the expectations whose time limit ended before [now]. */
    private fun checkExpectations(now: Long) {
        while (expectations.isNotEmpty()) {
            val next = expectations.first()
            val deadline = next.sinceMillis + bounds.inForceMillis
            if (deadline >= now || deadline > endMillis) return
            expectations.removeFirst()
            entries
                .filterKeys { next.onlyEntry == null || it == next.onlyEntry }
                .forEach { (name, entry) -> checkInForce(name, entry, next, deadline) }
        }
    }

    private fun checkInForce(
        name: InstanceId,
        entry: Entry,
        next: Expectation,
        deadline: Long,
    ) {
        // An instance that connected later has its own time limit, counted from its connection.
        val connectedSince = entry.connectedSince ?: return
        if (connectedSince > next.sinceMillis) return
        val generation = entry.generations[next.service] ?: 0
        findings.record(Promise.P9, generation >= next.generation) {
            "$name had generation $generation of ${next.service} at $deadline ms, when ${next.generation} was due"
        }
    }

    private fun audit(event: HistoryEvent.AuditRead) {
        val missing =
            accepted[event.service]
                .orEmpty()
                .keys
                .sorted()
                .takeLast(MAXIMUM_AUDIT_ENTRIES) - event.generations.toSet()
        findings.record(Promise.P9, missing.isEmpty()) {
            "the audit trail of ${event.service} lacks the accepted generations ${missing.joinToString()}"
        }
    }

    private companion object {
        const val MAXIMUM_AUDIT_ENTRIES = 50
    }
}
