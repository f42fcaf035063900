package io.sequoiawheel.experiment.claims

import io.sequoiawheel.experiment.virtual.VirtualTime

/** One fault and its time span. [slot] is the affected entry instance or, modulo the zone count, the affected zone. */
internal data class FaultPlan(
    val kind: Kind,
    val fromMillis: Long,
    val untilMillis: Long,
    val slot: Int,
) {
    enum class Kind { STORE_OUTAGE, LOST_ANSWERS, LATE_WRITES, STALE_READS, ZONE_CUT, ENTRY_DEATH, STORE_SLOW }

    companion object {
        private const val PAIR_INTERVAL_MILLIS = 45_000L

        /** Returns faults in overlapping pairs: a pair starts every 45 s, and each of its faults lasts 8 to 25 s. */
        fun generate(
            seed: Long,
            runMillis: Long,
        ): List<FaultPlan> {
            val random = VirtualTime.random(seed, "faults")
            return (PAIR_INTERVAL_MILLIS / 2 until runMillis step PAIR_INTERVAL_MILLIS).flatMap { start ->
                val first = random.nextInt(Kind.entries.size)
                val second = (first + 1 + random.nextInt(Kind.entries.size - 1)) % Kind.entries.size
                listOf(first, second).map { kind ->
                    val from = start + random.nextLong(4_000)
                    FaultPlan(
                        Kind.entries[kind],
                        from,
                        from + 8_000 + random.nextLong(17_000),
                        random.nextInt(CallPlan.SLOTS),
                    )
                }
            }
        }
    }
}
