package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ConfigurationOrderTest {
    private var nowMillis = 0L
    private val order = ConfigurationOrder(Clock { nowMillis })

    @Test
    fun `an older version in a snapshot does not come into force and confirms nothing`() {
        assertTrue(order.observe(era = 1, revision = 40, version = 7))
        assertTrue(order.confirmsCurrent(nowMillis))
        nowMillis = 1_000
        assertFalse(order.observe(era = 2, revision = 30, version = 6))
        assertEquals(7, order.version)
        assertFalse(order.confirmsCurrent(4_000))
    }

    @Test
    fun `a version with a reused revision comes into force in the new era`() {
        order.observe(era = 1, revision = 40, version = 7)
        assertTrue(order.observe(era = 2, revision = 31, version = 8))
        assertFalse(
            order.observe(era = 2, revision = 30, version = 9),
            "an older revision of the same era must be ignored",
        )
    }

    @Test
    fun `nothing is confirmed while the operator may rewrite a lost version that was never read`() {
        order.observe(era = 1, revision = 40, version = 7)
        order.observe(era = 2, revision = 38, version = 7)
        assertFalse(order.confirmsCurrent(nowMillis + 1_999))
        assertTrue(order.confirmsCurrent(nowMillis + 2_000))
    }

    @Test
    fun `an older version that is not replaced confirms the one in force after the settling limit`() {
        order.observe(era = 1, revision = 40, version = 7)
        order.observe(era = 2, revision = 30, version = 6)
        assertTrue(order.confirmsCurrent(nowMillis + 10_000))
    }

    /** A random history of configuration versions in a store that is sometimes restored from an older snapshot. */
    private class History(
        seed: Long,
    ) {
        val random = RandomSource.SPLIT_MIX_64.create(seed)
        val states = ArrayList<Triple<Long, Long, Long>>()

        init {
            var era = 1L
            var revision = 1L
            var version = 1L
            val written = ArrayList<Pair<Long, Long>>()
            repeat(STEPS) {
                if (random.nextInt(8) == 0 && written.size > 3) {
                    era++
                    repeat(1 + random.nextInt(3)) { written.removeLast() }
                    revision = written.last().first
                } else {
                    revision += 1 + random.nextInt(3)
                    // After a restore, the newest version is rewritten, or a later one is written.
                    version += random.nextInt(3)
                    written += revision to version
                }
                states += Triple(era, written.last().first, written.last().second)
            }
        }
    }

    private fun interface Order {
        fun observe(
            era: Long,
            revision: Long,
            version: Long,
        ): Boolean
    }

    /** Returns the first version that replaced a newer one, or null if none did. */
    private fun firstRegression(
        seed: Long,
        order: Order,
    ): Long? {
        val history = History(seed)
        var inForce = 0L
        for ((era, revision, version) in history.states) {
            if (history.random.nextInt(3) == 0) continue
            if (!order.observe(era, revision, version)) continue
            if (version < inForce) return version
            inForce = version
        }
        return null
    }

    @Test
    fun `no random history of restores brings an older version into force`() {
        for (seed in 1L..SEEDS) {
            val order = ConfigurationOrder(Clock { 0 })
            assertEquals(
                null,
                firstRegression(seed) { era, revision, version -> order.observe(era, revision, version) },
            )
        }
    }

    @Test
    fun `the random histories detect an order that accepts the newest revision of each era`() {
        var newest = 0L to 0L
        val regressions =
            (1L..SEEDS).mapNotNull { seed ->
                newest = 0L to 0L
                firstRegression(seed) { era, revision, _ ->
                    val isNewer = compareValuesBy(era to revision, newest, { it.first }, { it.second }) > 0
                    if (isNewer) newest = era to revision
                    isNewer
                }
            }
        assertTrue(regressions.size > SEEDS / 2, "${regressions.size} of $SEEDS histories regress")
    }

    private companion object {
        const val STEPS = 60
        const val SEEDS = 200L
    }
}
