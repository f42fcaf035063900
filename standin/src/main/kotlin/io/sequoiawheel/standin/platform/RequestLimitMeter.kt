/*
 * Counts the requests that a replica receives while it names a request limit, and compares them with the bound: from
 * some seconds after the replica first named a limit, no four seconds may bring more than one and a half times what the
 * limit allows, and five more, from the instances that received the limit at least half a second earlier.
 */
package io.sequoiawheel.standin.platform

/**
 * The span in which the bound was exceeded most.
 *
 * @property startMillis when the four seconds began
 * @property received requests in that time
 * @property allowed the bound
 */
data class LimitExcess(
    val startMillis: Long,
    val received: Int,
    val allowed: Double,
)

/**
 * Records the requests and responses of one replica. Thread-safe.
 *
 * @param contactMillis time after a limit was first named in which it is not binding yet
 */
class RequestLimitMeter(
    private val contactMillis: Long = DEFAULT_CONTACT_MILLIS,
    private val nowMillis: () -> Long,
) {
    private class Arrival(
        val atMillis: Long,
        val sender: String,
    )

    private class LimitChange(
        val atMillis: Long,
        val perSecond: Double?,
    )

    private val arrivals = ArrayList<Arrival>()
    private val changes = ArrayList<LimitChange>()
    private val informedMillis = HashMap<String, Long>()

    /** Records that the replica names the limit [perSecond] from now on, or none if it is null. */
    @Synchronized
    fun recordLimit(perSecond: Double?) {
        changes += LimitChange(nowMillis(), perSecond)
        if (perSecond == null) informedMillis.clear()
    }

    /** Records a request of the instance [sender]. */
    @Synchronized
    fun recordRequest(sender: String) {
        val now = nowMillis()
        val informed = informedMillis[sender] ?: return
        if (now - informed >= INFORMED_MILLIS) arrivals += Arrival(now, sender)
    }

    /** Records that [sender] received a response, which names the limit in force. */
    @Synchronized
    fun recordResponse(sender: String) {
        if (changes.lastOrNull()?.perSecond != null) informedMillis.putIfAbsent(sender, nowMillis())
    }

    /** Records that [sender] was restarted or unreachable, so that it must receive the limit anew. */
    @Synchronized
    fun excuse(sender: String) {
        informedMillis.remove(sender)
    }

    /** Number of requests recorded from instances that had received the limit. */
    @Synchronized
    fun count(): Int = arrivals.size

    /** Returns the four seconds in which the bound was exceeded most, or null if it was kept. */
    @Synchronized
    fun worstExcess(): LimitExcess? =
        limitedSpans()
            .flatMap { (fromMillis, untilMillis) ->
                arrivals
                    .map { it.atMillis }
                    .filter { it >= fromMillis + contactMillis && it + WINDOW_MILLIS <= untilMillis }
                    .map(::excess)
            }.filter { it.received > it.allowed }
            .maxByOrNull { it.received - it.allowed }

    private fun excess(startMillis: Long): LimitExcess {
        val endMillis = startMillis + WINDOW_MILLIS
        val received = arrivals.count { it.atMillis in startMillis..<endMillis }
        return LimitExcess(startMillis, received, EXCESS_FACTOR * allowedBetween(startMillis, endMillis) + MARGIN)
    }

    /** Returns the spans in which a limit was named without interruption. */
    private fun limitedSpans(): List<Pair<Long, Long>> {
        val spans = ArrayList<Pair<Long, Long>>()
        var sinceMillis: Long? = null
        for (change in changes) {
            val since = sinceMillis
            if (change.perSecond == null && since != null) spans += since to change.atMillis
            sinceMillis = if (change.perSecond == null) null else since ?: change.atMillis
        }
        sinceMillis?.let { spans += it to nowMillis() }
        return spans
    }

    private fun allowedBetween(
        startMillis: Long,
        endMillis: Long,
    ): Double =
        changes.indices.sumOf { index ->
            val from = maxOf(changes[index].atMillis, startMillis)
            val until = minOf(changes.getOrNull(index + 1)?.atMillis ?: Long.MAX_VALUE, endMillis)
            (changes[index].perSecond ?: 0.0) * maxOf(0L, until - from) / MILLIS_PER_SECOND
        }

    companion object {
        const val DEFAULT_CONTACT_MILLIS = 3_000L
        const val WINDOW_MILLIS = 4_000L
        private const val INFORMED_MILLIS = 500L
        private const val EXCESS_FACTOR = 1.5
        private const val MARGIN = 5.0
        private const val MILLIS_PER_SECOND = 1_000.0
    }
}
