package io.sequoiawheel.experiment.configuration

import io.sequoiawheel.experiment.virtual.VirtualTime

/**
 * The events of one run. Every policy gets the same events.
 *
 * @property changes changes by operators
 * @property faults faults in overlapping pairs, and restarts
 */
internal class ConfigurationScenario(
    val size: Size,
    val changes: List<Change>,
    val faults: List<Fault>,
) {
    /** A deployment size, with the rates of changes and of entry instance restarts per day. */
    enum class Size(
        val zones: Int,
        val perZone: Int,
        val services: Int,
        val changesPerDay: Int,
        val restartsPerDay: Int,
    ) {
        TODAY(3, 2, 2, 800, 400),
        DESIGN(5, 68, 20, 830, 130),
    }

    /** One change by an operator. If [isRace], a second operator changes the same document at the same time. */
    class Change(
        val atMillis: Long,
        val service: Int,
        val isRace: Boolean,
    )

    /** One fault. [choice] selects the affected zone or instance. */
    class Fault(
        val kind: Kind,
        val fromMillis: Long,
        val untilMillis: Long,
        val choice: Int,
    )

    /** The kind of a fault. */
    enum class Kind {
        STORE_OUTAGE,
        LOST_ANSWERS,
        STALE_READS,
        STORE_SLOW,
        ZONE_CUT_FROM_STORE,
        ZONE_ISOLATED,
        ACCEPTOR_PAUSED,
        INSTANCE_PAUSED,
        RESTART,
    }

    companion object {
        const val RUN_MILLIS = 3_600_000L
        private const val DAY_MILLIS = 86_400_000.0
        private const val PAIR_INTERVAL_MILLIS = 120_000L
        private const val RACE_SHARE = 0.3

        fun generate(
            seed: Long,
            size: Size,
        ): ConfigurationScenario {
            val random = VirtualTime.random(seed, "scenario $size")
            val count = (size.changesPerDay * RUN_MILLIS / DAY_MILLIS).toInt()
            val changes =
                List(count) {
                    Change(
                        random.nextLong(RUN_MILLIS),
                        random.nextInt(size.services),
                        random.nextDouble() < RACE_SHARE,
                    )
                }.sortedBy { it.atMillis }
            val kinds = Kind.entries - Kind.RESTART
            val pairs =
                (PAIR_INTERVAL_MILLIS / 2 until RUN_MILLIS step PAIR_INTERVAL_MILLIS).flatMap { start ->
                    val first = random.nextInt(kinds.size)
                    val second = (first + 1 + random.nextInt(kinds.size - 1)) % kinds.size
                    listOf(first, second).map { kind ->
                        val from = start + random.nextLong(10_000)
                        val length = 10_000 + random.nextLong(40_000)
                        Fault(kinds[kind], from, from + length, random.nextInt(1_000_000))
                    }
                }
            val restarts =
                List((size.restartsPerDay * RUN_MILLIS / DAY_MILLIS).toInt()) {
                    val at = random.nextLong(RUN_MILLIS)
                    Fault(Kind.RESTART, at, at + 5_000, random.nextInt(1_000_000))
                }
            return ConfigurationScenario(size, changes, (pairs + restarts).sortedBy { it.fromMillis })
        }
    }
}
