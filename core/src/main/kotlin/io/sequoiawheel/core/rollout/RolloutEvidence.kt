package io.sequoiawheel.core.rollout

import io.sequoiawheel.core.model.Clock
import org.HdrHistogram.Histogram

/**
 * The responses that one instance received since an order, by route and version. A request that is unanswered for so
 * long that it counts as slow is recorded at once, since a version that does not answer must not go unnoticed. Confined
 * to one thread.
 */
class RolloutEvidence(
    private val clock: Clock,
) {
    private class Cell {
        var responses = 0
        var failures = 0
        val firstEvents = HashMap<Long, Int>()
        val gaps = HashMap<Long, Int>()

        fun snapshot() = EvidenceCell(responses, failures, HashMap(firstEvents), HashMap(gaps))
    }

    private class Cells {
        val old = Cell()
        val new = Cell()
    }

    private val cells = LinkedHashMap<String, Cells>()
    private val waiting = LinkedHashSet<Observation>()

    /** Returns the responses recorded so far. */
    fun snapshot(): EvidenceByRoute =
        cells.mapValues { VersionEvidence(it.value.old.snapshot(), it.value.new.snapshot()) }

    /** Starts to observe a request on [route] that is sent to the new or an old version now. */
    fun begin(
        route: String,
        isNew: Boolean,
    ): RolloutObservation {
        val key = if (route in cells || cells.size < RolloutShare.MAXIMUM_ROUTES - 1) route else OTHER_ROUTES
        val parts = cells.getOrPut(key) { Cells() }
        return Observation(key, if (isNew) parts.new else parts.old).also { waiting += it }
    }

    /** Records the requests to the new version that are unanswered for longer than what counts as slow by [all]. */
    fun recordOverdue(all: EvidenceByRoute) {
        val now = clock.nowMillis()
        for (pending in waiting.toList()) {
            val limitMillis = all[pending.route]?.old?.let(SlowLimits::firstEventMillis) ?: continue
            if (now - pending.startedMillis > limitMillis * OVERDUE_FACTOR) pending.recordFirstEvent()
        }
    }

    private inner class Observation(
        val route: String,
        private val cell: Cell,
    ) : RolloutObservation {
        val startedMillis = clock.nowMillis()
        private var firstEventMillis: Long? = null
        private var events = 0
        private var hasGap = false
        private var isEnded = false

        override fun recordFirstEvent() {
            if (firstEventMillis != null || isEnded) return
            val now = clock.nowMillis()
            firstEventMillis = now
            waiting -= this
            cell.responses++
            cell.firstEvents.merge(bucket(now - startedMillis), 1, Int::plus)
        }

        override fun recordEvents(count: Int) {
            recordFirstEvent()
            val first = firstEventMillis ?: return
            events += count
            if (hasGap || isEnded || events < GAP_EVENTS) return
            hasGap = true
            cell.gaps.merge(bucket((clock.nowMillis() - first) / (events - 1)), 1, Int::plus)
        }

        override fun recordFailure() {
            if (isEnded) return
            if (firstEventMillis == null) cell.responses++
            cell.failures++
            end()
        }

        override fun end() {
            isEnded = true
            waiting -= this
        }
    }

    private companion object {
        /** Routes beyond the number that a message may hold are counted together. */
        const val OTHER_ROUTES = "other"

        /** Events after which the pace of a stream is known well enough. */
        const val GAP_EVENTS = 6

        /** Values are rounded down by up to 7 in 100, and an overdue response must still exceed the limit. */
        const val OVERDUE_FACTOR = 1.1

        const val MAXIMUM_MILLIS = 3_600_000L

        /** Provides the boundaries of values that count as equal, to one digit of precision. */
        private val buckets = Histogram(MAXIMUM_MILLIS, 1)

        fun bucket(millis: Long): Long = buckets.lowestEquivalentValue(millis.coerceIn(0, MAXIMUM_MILLIS))
    }
}

/** Observes one request that was sent to a version. */
interface RolloutObservation {
    /** Records that the response began. */
    fun recordFirstEvent()

    /** Records [count] further events of a stream. */
    fun recordEvents(count: Int)

    /** Records that the version answered with an error, or that its response was lost or broken off. */
    fun recordFailure()

    /** Ends the observation; without a response nothing is recorded, since the request may not have run. */
    fun end()
}

/** Times beyond which a response counts as slow, from those of the old version over the same period. */
internal object SlowLimits {
    fun firstEventMillis(old: EvidenceCell): Long? = limitMillis(old.firstEvents, FIRST_EVENT_FLOOR_MILLIS)

    fun gapMillis(old: EvidenceCell): Long? = limitMillis(old.gaps, GAP_FLOOR_MILLIS)

    private fun limitMillis(
        counts: Map<Long, Int>,
        floorMillis: Long,
    ): Long? {
        val total = counts.values.sum()
        if (total < MINIMUM_RESPONSES) return null
        var seen = 0
        val median =
            counts.entries
                .sortedBy { it.key }
                .first { (_, count) ->
                    seen += count
                    seen * 2 >= total
                }.key
        return (median * SLOW_FACTOR).toLong().coerceAtLeast(median + floorMillis)
    }

    /** With fewer responses of the old version a median says little. */
    private const val MINIMUM_RESPONSES = 5

    /** Engines differ by a factor of 2.2 among themselves, so a slow version exceeds this many times the median. */
    private const val SLOW_FACTOR = 2.5

    /** Differences below these are within the pauses of a process and of its scheduler. */
    private const val FIRST_EVENT_FLOOR_MILLIS = 40L
    private const val GAP_FLOOR_MILLIS = 25L
}
