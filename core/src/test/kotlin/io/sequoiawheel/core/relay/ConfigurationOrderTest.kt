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
    fun `a copy with an older version leaves the newer one in force and proves nothing`() {
        assertTrue(order.shown(era = 1, revision = 40, version = 7))
        assertTrue(order.isProof(nowMillis))
        nowMillis = 1_000
        assertFalse(order.shown(era = 2, revision = 30, version = 6))
        assertEquals(7, order.version)
        assertFalse(order.isProof(4_000))
    }

    @Test
    fun `versions whose revisions are given out again come into force in the new era`() {
        order.shown(era = 1, revision = 40, version = 7)
        assertTrue(order.shown(era = 2, revision = 31, version = 8))
        assertFalse(order.shown(era = 2, revision = 30, version = 9), "an older revision of the same era")
    }

    @Test
    fun `a version that was lost unseen may come while the operator may write it again`() {
        order.shown(era = 1, revision = 40, version = 7)
        order.shown(era = 2, revision = 38, version = 7)
        assertFalse(order.isProof(nowMillis + 1_999))
        assertTrue(order.isProof(nowMillis + 2_000))
    }

    @Test
    fun `an older version that nobody replaces proves the one in force in the end`() {
        order.shown(era = 1, revision = 40, version = 7)
        order.shown(era = 2, revision = 30, version = 6)
        assertTrue(order.isProof(nowMillis + 10_000))
    }

    /** The operator's versions and a store that forgets the newest ones. */
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
                    // After a copy came back, the newest version is written again, or a later one.
                    version += random.nextInt(3)
                    written += revision to version
                }
                states += Triple(era, written.last().first, written.last().second)
            }
        }
    }

    private fun interface Order {
        fun shown(
            era: Long,
            revision: Long,
            version: Long,
        ): Boolean
    }

    /** Returns the first version that replaced a newer one, or null. */
    private fun firstRegress(
        seed: Long,
        order: Order,
    ): Long? {
        val history = History(seed)
        var inForce = 0L
        for ((era, revision, version) in history.states) {
            if (history.random.nextInt(3) == 0) continue
            if (!order.shown(era, revision, version)) continue
            if (version < inForce) return version
            inForce = version
        }
        return null
    }

    @Test
    fun `no random history of copies brings an older version into force`() {
        for (seed in 1L..SEEDS) {
            val order = ConfigurationOrder(Clock { 0 })
            assertEquals(null, firstRegress(seed) { era, revision, version -> order.shown(era, revision, version) })
        }
    }

    @Test
    fun `the random histories find an order that believes each era's newest revision`() {
        var newest = 0L to 0L
        val regresses =
            (1L..SEEDS).mapNotNull { seed ->
                newest = 0L to 0L
                firstRegress(seed) { era, revision, _ ->
                    val isNewer = compareValuesBy(era to revision, newest, { it.first }, { it.second }) > 0
                    if (isNewer) newest = era to revision
                    isNewer
                }
            }
        assertTrue(regresses.size > SEEDS / 2, "${regresses.size} of $SEEDS histories regress")
    }

    private companion object {
        const val STEPS = 60
        const val SEEDS = 200L
    }
}
