package io.sequoiawheel.core.relay

/** How often an aggregator sends its totals: the larger they are, the less often. */
internal object TotalsInterval {
    /** Half the time of one prompt prefill; with older totals, instances would select the same replica. */
    private const val MINIMUM_MILLIS = 100L

    /** Shorter than the time after which an aggregator counts as silent. */
    const val MAXIMUM_MILLIS = 700L

    /** Limit on the totals that an instance receives: five per second for 95 instances and 33 replicas. */
    private const val BYTES_PER_SECOND = 8_000L

    /** Size of an id and its values in a message. */
    private const val BYTES_PER_ENTRY = 30
    private const val MILLIS_PER_SECOND = 1_000L

    /** Returns the interval for totals with [entries] replicas and members. */
    fun millis(entries: Int): Long =
        (entries * BYTES_PER_ENTRY * MILLIS_PER_SECOND / BYTES_PER_SECOND).coerceIn(MINIMUM_MILLIS, MAXIMUM_MILLIS)
}
