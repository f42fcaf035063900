/*
 * Evidence for and against prompt parts. A replica that ends under its requests speaks against the parts of those
 * requests; a run that goes on for a while after its response began, or completes, speaks for all of its parts. A
 * crash is blamed on requests whose response had just begun, if there are any, and on waiting requests otherwise. A
 * crash that a part under quarantine explains speaks against no other part.
 */
package io.sequoiawheel.core.quarantine

import io.sequoiawheel.core.model.Clock

/** Crashes and survivals of the whole fleet, as far as this instance knows them. Confined to one thread. */
internal class CrashEvidence(
    private val clock: Clock,
) {
    /**
     * The end of one incarnation.
     *
     * @property atMillis when the first connection to it was lost
     */
    class Crash(
        val incarnation: Incarnation,
        val atMillis: Long,
    ) {
        /** Parts of requests whose response had begun shortly before. */
        val writing = LinkedHashSet<PromptPart>()

        /** Parts of requests whose response had not begun. */
        val waiting = LinkedHashSet<PromptPart>()

        /** Whether the replica was heard of afterwards, so that only connections ended. */
        var isRefuted = false

        fun involves(parts: Set<PromptPart>) = parts.any { it in writing || it in waiting }

        fun report(nowMillis: Long): ReportedCrash {
            val reportedWriting = writing.take(PartReport.MAXIMUM_PARTS_PER_CRASH)
            return ReportedCrash(
                incarnation.replica,
                incarnation.startedAtMillis,
                nowMillis - atMillis,
                reportedWriting,
                waiting.take(PartReport.MAXIMUM_PARTS_PER_CRASH - reportedWriting.size),
                isRefuted,
            )
        }
    }

    private val crashes = LinkedHashMap<Incarnation, Crash>()
    private val survivals = RecentValues<PromptPart, Long>(MAXIMUM_SURVIVALS)

    /** Adds a lost run to the crash of [incarnation]. Returns whether anything was new. */
    fun addCrash(
        incarnation: Incarnation,
        atMillis: Long,
        writing: Collection<PromptPart>,
        waiting: Collection<PromptPart>,
        isRefuted: Boolean = false,
    ): Boolean {
        val isNew = incarnation !in crashes
        val crash = crashes.getOrPut(incarnation) { Crash(incarnation, atMillis) }
        val hasMoreParts = crash.writing.addBounded(writing) or crash.waiting.addBounded(waiting)
        val isNewlyRefuted = isRefuted && !crash.isRefuted
        if (isNewlyRefuted) crash.isRefuted = true
        if (crashes.size > MAXIMUM_CRASHES) crashes.remove(crashes.keys.first())
        return isNew || hasMoreParts || isNewlyRefuted
    }

    /**
     * Records that [incarnation] was heard of now. Returns whether this refutes its crash. A later sign of life may be
     * that of a replica which started again under the same id.
     */
    fun addLife(incarnation: Incarnation): Boolean {
        val crash = crashes[incarnation]?.takeIf { !it.isRefuted } ?: return false
        crash.isRefuted = clock.nowMillis() - crash.atMillis in REFUTING_MILLIS
        return crash.isRefuted
    }

    /** Records that a run with [part] whose response began at [begunMillis] went on. */
    fun addSurvival(
        part: PromptPart,
        begunMillis: Long,
    ) {
        survivals[part] = maxOf(begunMillis, survivals[part] ?: Long.MIN_VALUE)
    }

    /** Returns when the response of the latest run with [part] that went on had begun, or null if none is known. */
    fun survivalOf(part: PromptPart): Long? = survivals[part]

    /** Whether any crash is known. */
    fun isEmpty(): Boolean = crashes.isEmpty()

    /** Returns the known crashes of the last [millis] milliseconds. */
    fun crashesWithin(millis: Long): List<Crash> {
        forgetOld()
        return crashes.values.filter { clock.nowMillis() - it.atMillis <= millis }
    }

    /**
     * Returns when the crashes that speak against each part happened, in order, for all parts that any speaks against.
     * Crashes in one moment count as one.
     */
    fun accusations(explaining: Set<PromptPart>): Map<PromptPart, List<Long>> {
        val moments = HashMap<PromptPart, MutableList<Long>>()
        for (crash in open(explaining).sortedBy { it.atMillis }) {
            for (part in suspects(crash)) {
                val known = moments.getOrPut(part) { ArrayList() }
                if (known.isEmpty() || crash.atMillis - known.last() >= MOMENT_MILLIS) known += crash.atMillis
            }
        }
        return moments
    }

    private fun open(explaining: Set<PromptPart>): List<Crash> {
        forgetOld()
        return crashes.values.filter { !it.isRefuted && !it.involves(explaining) }
    }

    private fun suspects(crash: Crash): List<PromptPart> {
        val isNotCleared = { part: PromptPart -> (survivals[part] ?: Long.MIN_VALUE) < crash.atMillis }
        return crash.writing.filter(isNotCleared).ifEmpty { crash.waiting.filter(isNotCleared) }
    }

    private fun forgetOld() {
        crashes.values.removeIf { clock.nowMillis() - it.atMillis > MEMORY_MILLIS }
    }

    private fun LinkedHashSet<PromptPart>.addBounded(parts: Collection<PromptPart>): Boolean {
        val missing = parts.filter { it !in this }.take(maxOf(0, MAXIMUM_PARTS - size))
        return addAll(missing)
    }

    private companion object {
        /** Several minutes, since requests with a rarely used part arrive far apart. */
        const val MEMORY_MILLIS = 600_000L

        /** Replicas that end this close to one another share a cause, such as a lost zone or power feed. */
        const val MOMENT_MILLIS = 200L

        /** Before, bytes that were received earlier are still being read; after, the replica may have started again. */
        val REFUTING_MILLIS = 250L..1_500L

        const val MAXIMUM_CRASHES = 64
        const val MAXIMUM_PARTS = 32
        const val MAXIMUM_SURVIVALS = 2_048
    }
}

/** A map of at most [capacity] entries, from which the least recently written ones are removed. */
internal class RecentValues<K, V>(
    private val capacity: Int,
) {
    private val values = LinkedHashMap<K, V>()

    operator fun get(key: K): V? = values[key]

    operator fun set(
        key: K,
        value: V,
    ) {
        values.remove(key)
        values[key] = value
        if (values.size > capacity) values.remove(values.keys.first())
    }
}
