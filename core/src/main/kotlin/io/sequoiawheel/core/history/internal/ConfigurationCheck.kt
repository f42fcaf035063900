package io.sequoiawheel.core.history.internal

import io.sequoiawheel.core.history.CheckBounds
import io.sequoiawheel.core.history.HistoryEvent
import io.sequoiawheel.core.history.Promise
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceName

/** P9: accepted generations spread in time, never revert and leave an audit entry. */
internal class ConfigurationCheck(
    private val events: List<HistoryEvent>,
    private val bounds: CheckBounds,
    private val verdicts: Verdicts,
) {
    private class Entry(
        var connectedSince: Long?,
        val generations: MutableMap<ServiceName, Long> = HashMap(),
    )

    /** From [from] on, [only] or every instance has the bound's time to reach [generation]. */
    private class Due(
        val service: ServiceName,
        val generation: Long,
        val from: Long,
        val only: InstanceId? = null,
    )

    private val endMillis = bounds.endMillis ?: events.lastOrNull()?.atMillis ?: 0
    private val entries = LinkedHashMap<InstanceId, Entry>()
    private val accepted = HashMap<ServiceName, MutableMap<Long, HistoryEvent.DocumentAccepted>>()
    private val due = ArrayDeque<Due>()

    fun run() {
        for (event in events) {
            checkDue(event.atMillis)
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
        checkDue(Long.MAX_VALUE)
    }

    private fun connect(event: HistoryEvent.EntryConnected) {
        entries.getOrPut(event.entry) { Entry(null) }.connectedSince = event.atMillis
        accepted.forEach { (service, generations) ->
            due.addLast(Due(service, generations.keys.max(), event.atMillis, event.entry))
        }
    }

    private fun accept(event: HistoryEvent.DocumentAccepted) {
        val generations = accepted.getOrPut(event.service) { sortedMapOf() }
        val highest = generations.keys.maxOrNull() ?: 0
        verdicts.decide(Promise.P9, event.generation == highest + 1) {
            "${event.service} went from accepted generation $highest to ${event.generation}"
        }
        val highestVersion = generations[highest]?.documentVersion ?: 0
        verdicts.decide(Promise.P9, event.documentVersion > highestVersion) {
            "${event.service} accepted document version ${event.documentVersion} after $highestVersion"
        }
        generations[event.generation] = event
        due.addLast(Due(event.service, event.generation, event.atMillis))
    }

    private fun apply(event: HistoryEvent.DocumentApplied) {
        val entry = entries.getOrPut(event.entry) { Entry(null) }
        val before = entry.generations[event.service] ?: 0
        verdicts.decide(Promise.P9, event.generation > before) {
            "${event.entry} went back from generation $before to ${event.generation} of ${event.service}"
        }
        verdicts.decide(Promise.P9, accepted[event.service]?.containsKey(event.generation) == true) {
            "${event.entry} applied generation ${event.generation} of ${event.service}, which was not accepted"
        }
        entry.generations[event.service] = event.generation
    }

    /** Decides the generations whose time to spread ended before [now]. */
    private fun checkDue(now: Long) {
        while (due.isNotEmpty()) {
            val next = due.first()
            val deadline = next.from + bounds.inForceMillis
            if (deadline >= now || deadline > endMillis) return
            due.removeFirst()
            entries
                .filterKeys { next.only == null || it == next.only }
                .forEach { (name, entry) -> checkInForce(name, entry, next, deadline) }
        }
    }

    private fun checkInForce(
        name: InstanceId,
        entry: Entry,
        next: Due,
        deadline: Long,
    ) {
        // An instance that connected since then has its own time, counted from its connection.
        val since = entry.connectedSince ?: return
        if (since > next.from) return
        val generation = entry.generations[next.service] ?: 0
        verdicts.decide(Promise.P9, generation >= next.generation) {
            "$name had generation $generation of ${next.service} at $deadline ms, when ${next.generation} was due"
        }
    }

    private fun audit(event: HistoryEvent.AuditRead) {
        val missing =
            accepted[event.service]
                .orEmpty()
                .keys
                .sorted()
                .takeLast(MAXIMUM_AUDIT) - event.generations.toSet()
        verdicts.decide(Promise.P9, missing.isEmpty()) {
            "the audit trail of ${event.service} lacks the accepted generations ${missing.joinToString()}"
        }
    }

    private companion object {
        const val MAXIMUM_AUDIT = 50
    }
}
