package io.sequoiawheel.core.relay

/** The interval at which an aggregator sends the totals, which grows with their size. */
internal object TotalsInterval {
    /** Half the time of one prompt prefill; with older totals, instances would select the same replica. */
    private const val SHORTEST_MILLIS = 100L

    /** Shorter than the time after which an aggregator counts as silent. */
    const val LIMIT_MILLIS = 700L

    /** Limit on the totals that an instance receives: five per second for 95 instances and 33 replicas. */
    private const val BYTES_PER_SECOND = 8_000L

    /** Size of an id and its values in a message. */
    private const val BYTES_PER_ENTRY = 30
    private const val MILLIS_PER_SECOND = 1_000L

    /** Returns the interval for totals with this number of [entries]. */
    fun millis(entries: Int): Long =
        (entries * BYTES_PER_ENTRY * MILLIS_PER_SECOND / BYTES_PER_SECOND).coerceIn(SHORTEST_MILLIS, LIMIT_MILLIS)
}
