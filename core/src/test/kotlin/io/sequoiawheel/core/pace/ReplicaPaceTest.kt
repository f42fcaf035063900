package io.sequoiawheel.core.pace

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** The pace of one engine, some of whose figures are late, wrong or missing. */
class ReplicaPaceTest {
    private var nowMillis = 0L
    private val pace = ReplicaPace { nowMillis }

    private fun figures(
        hundredths: Int,
        count: Int,
        intervalMillis: Long = 700,
    ) = repeat(count) {
        nowMillis += intervalMillis
        pace.recordFigure(hundredths)
    }

    @Test
    fun `a replica that reports nothing works as usual`() {
        assertFalse(pace.isKnown)
        assertEquals(1.0, pace.factor())
    }

    // Guards against avoiding a replica long after its slow spell of 600 ms has ended.
    @Test
    fun `a slow spell counts at once and loses its weight within a second and a half`() {
        figures(100, 20)
        figures(250, 1)
        assertTrue(pace.factor() > 2.0, "${pace.factor()}")
        nowMillis += 400
        assertTrue(pace.factor() < 1.6, "${pace.factor()}")
        nowMillis += 1_100
        assertTrue(pace.factor() < 1.1, "${pace.factor()}")
    }

    @Test
    fun `a spell that has ended by a newer figure no longer counts`() {
        figures(100, 20)
        figures(250, 1)
        figures(100, 1, intervalMillis = 200)
        assertTrue(pace.factor() in 0.8..1.1, "${pace.factor()}")
    }

    // Guards against a replica that draws all traffic, or none, by reporting a wrong speed.
    @Test
    fun `streams correct a replica that always reports the same wrong figure`() {
        for (figure in listOf(20, 1_000)) {
            val liar = ReplicaPace { nowMillis }
            repeat(40) {
                nowMillis += 500
                liar.recordFigure(figure)
                liar.recordObservation(1.2)
            }
            assertEquals(1.2, liar.factor(), 0.25, "figure $figure")
        }
    }

    @Test
    fun `the slow factor is learned from streams and not moved by spells without a figure`() {
        figures(100, 5)
        repeat(200) { pace.recordObservation(if (it % 7 == 0) 0.55 * 2.5 else 0.55) }
        assertEquals(0.55, pace.usual(), 0.1)
    }

    @Test
    fun `the streams of other instances count by their number`() {
        figures(100, 5)
        pace.applyReport(ObservedFactor(0.55, 100))
        assertEquals(0.55, pace.usual(), 0.03)
    }

    @Test
    fun `older figures of other instances do not replace a newer one`() {
        figures(100, 5)
        pace.applyFigure(SpeedFigure(250, nowMillis - 300))
        assertEquals(100, pace.figure?.hundredths)
    }
}
