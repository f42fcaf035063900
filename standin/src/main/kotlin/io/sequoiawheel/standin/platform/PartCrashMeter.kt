/*
 * Counts what replicas that crash on a prompt part receive with it, and how callers of other requests fare. Times are
 * those of the clock handed in, in milliseconds.
 */
package io.sequoiawheel.standin.platform

/**
 * Thread-safe.
 *
 * @param contactMillis time after the fifth crash from which arrivals are late
 * @param now returns the time
 */
class PartCrashMeter(
    private val contactMillis: Long = DEFAULT_CONTACT_MILLIS,
    private val now: () -> Long,
) {
    private class Outcome(
        val sentMillis: Long,
        val isFirstAttempt: Boolean,
        val isServed: Boolean,
    )

    private val crashes = HashMap<String, MutableList<Long>>()
    private val sends = HashMap<String, MutableList<Pair<Long, String>>>()
    private val excusedUntil = HashMap<String, Long>()
    private val sound = ArrayList<Outcome>()

    /** Records that a request with [part] reached a replica, sent by [instance]. */
    @Synchronized
    fun recordSend(
        part: String,
        instance: String,
    ) {
        sends.getOrPut(part) { ArrayList() } += now() to instance
        if (now() < (excusedUntil[instance] ?: Long.MIN_VALUE)) sends.getValue(part).removeLast()
    }

    /** Records that a replica crashed on [part]. */
    @Synchronized
    fun recordCrash(part: String) {
        crashes.getOrPut(part) { ArrayList() } += now()
    }

    /** Excuses what [instance] sends up to the contact time after [untilMillis], since it is out of touch. */
    @Synchronized
    fun excuse(
        instance: String,
        untilMillis: Long = now(),
    ) {
        excusedUntil[instance] = maxOf(excusedUntil[instance] ?: Long.MIN_VALUE, untilMillis + contactMillis)
    }

    /** Records the end of a request without a crashing part that was sent at [sentMillis]. */
    @Synchronized
    fun recordSound(
        sentMillis: Long,
        isServed: Boolean,
        isFirstAttempt: Boolean = isServed,
    ) {
        sound += Outcome(sentMillis, isFirstAttempt, isServed)
    }

    /** Returns the time of the fifth crash on [part], or null. */
    @Synchronized
    fun fifthCrashMillis(part: String): Long? = crashes[part]?.getOrNull(DECIDING_CRASHES - 1)

    /** Returns how many replicas crashed on [part]. */
    @Synchronized
    fun crashes(part: String): Int = crashes[part]?.size ?: 0

    /** Returns how many requests with [part] arrived later than the contact time after the fifth crash. */
    @Synchronized
    fun lateSends(part: String): Int {
        val fifth = fifthCrashMillis(part) ?: return 0
        return sends[part].orEmpty().count { it.first > fifth + contactMillis }
    }

    /** Returns the share of sound requests sent in [times] that began at the first attempt, and their number. */
    @Synchronized
    fun firstAttempts(times: LongRange): Share = share(times) { it.isFirstAttempt }

    /** Returns the share of sound requests sent in [times] that were answered whole, and their number. */
    @Synchronized
    fun served(times: LongRange): Share = share(times) { it.isServed }

    private fun share(
        times: LongRange,
        matches: (Outcome) -> Boolean,
    ): Share {
        val sent = sound.filter { it.sentMillis in times }
        return Share(sent.count(matches), sent.size)
    }

    /** [matching] of [total] requests. */
    data class Share(
        val matching: Int,
        val total: Int,
    ) {
        operator fun plus(other: Share) = Share(matching + other.matching, total + other.total)

        val value: Double get() = if (total == 0) 1.0 else matching.toDouble() / total
    }

    companion object {
        const val DEFAULT_CONTACT_MILLIS = 3_000L

        /** Crashes after which a part is known to crash replicas. */
        const val DECIDING_CRASHES = 5

        /** Late arrivals that do no harm yet. */
        const val ALLOWED_LATE_SENDS = 3
    }
}
