package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * An instance starts after the store was restored from an older copy. Guards against a start that takes an older
 * configuration for the newest one, and against reports that keep an instance from serving.
 */
class StartInquiryTest {
    private var nowMillis = 1_000_000L
    private val clock = Clock { nowMillis }

    private fun order() = ConfigurationOrder(clock, StartInquiry(clock))

    /** An instance that read [version] in era 1 long ago and then saw era 2, with version 5 in the store. */
    private fun running(version: Long) =
        order().apply {
            observe(era = 1, revision = 40, version)
            recordInstances(hasOthers = true)
            nowMillis += HOUR_MILLIS
            observe(era = 2, revision = 30, version = 5)
        }

    /** An instance that starts now and reads [version] in [era]. */
    private fun starting(
        version: Long = 5,
        era: Long = 2,
    ) = order().apply {
        observe(era, revision = 30, version)
        recordInstances(hasOthers = true)
        question()
    }

    private fun ConfigurationOrder.confirms() = confirmsCurrent(nowMillis)

    private fun ConfigurationOrder.ask(other: ConfigurationOrder) {
        other.receive(checkNotNull(question()))?.let(::receive)
    }

    // The start of an instance that is alone must not become longer.
    @Test
    fun `an instance that knows no other one confirms as soon as the list of instances was read`() {
        val order = order()
        order.observe(era = 2, revision = 30, version = 5)
        assertFalse(order.confirms())
        order.recordInstances(hasOthers = false)
        assertTrue(order.confirms())
        assertNull(order.question())
    }

    @Test
    fun `an instance that cannot read the list of instances confirms after a bounded time`() {
        val order = order()
        order.observe(era = 2, revision = 30, version = 5)
        nowMillis += StartInquiry.LISTING_MILLIS - 1
        assertFalse(order.confirms())
        nowMillis++
        assertTrue(order.confirms())
    }

    // An instance that was ready stopped serving for 300 ms when a slow store listed the others late.
    @Test
    fun `a list that is read too late asks nothing any more`() {
        val order = order().apply { observe(era = 2, revision = 30, version = 5) }
        nowMillis += StartInquiry.LISTING_MILLIS
        assertTrue(order.confirms())
        order.recordInstances(hasOthers = true)
        assertNull(order.question())
        assertTrue(order.confirms())
    }

    @Test
    fun `an instance that reaches no other one confirms after the time for the answers`() {
        val order = starting()
        nowMillis += StartInquiry.ANSWER_MILLIS - 1
        assertFalse(order.confirms())
        assertEquals(EraReport(2), order.question())
        nowMillis++
        assertTrue(order.confirms())
        assertNull(order.question())
    }

    // A store that states no era was never restored, so its instances start as before.
    @Test
    fun `an instance whose store states no era confirms at once`() {
        val order = order()
        order.observe(era = null, revision = 30, version = 5)
        order.recordInstances(hasOthers = true)
        assertTrue(order.confirms())
        assertNull(order.question())
    }

    @Test
    fun `an answer that the era is old ends the wait at once`() {
        val other = order().apply { observe(era = 2, revision = 30, version = 5) }
        nowMillis += HOUR_MILLIS
        val order = starting()
        order.ask(other)
        assertTrue(order.confirms())
        assertFalse(order.isOutdated)
    }

    @Test
    fun `an older version is not confirmed until the operator has written the newer one again`() {
        val other = running(version = 10)
        nowMillis += 1_000
        val order = starting()
        order.ask(other)
        nowMillis += 2_000
        assertTrue(order.isOutdated)
        assertFalse(order.confirms())
        order.observe(era = 2, revision = 31, version = 10)
        assertFalse(order.isOutdated)
        assertTrue(order.confirms())
    }

    // Versions rise in uneven steps: what is written again need not be the version that was lost.
    @Test
    fun `a version between the two is not confirmed, and a later one is`() {
        val other = running(version = 10)
        val order = starting()
        order.ask(other)
        nowMillis += 2_500
        order.observe(era = 2, revision = 31, version = 8)
        assertTrue(order.isOutdated)
        order.observe(era = 2, revision = 32, version = 17)
        assertFalse(order.isOutdated)
        assertTrue(order.confirms())
    }

    // A version that no instance read may be about to be written again, as for an instance that saw the restore.
    @Test
    fun `the version that the others have is confirmed after the settling time`() {
        val other = running(version = 5)
        val order = starting()
        order.ask(other)
        nowMillis += 1_999
        assertFalse(order.confirms())
        assertFalse(order.isOutdated)
        nowMillis++
        assertTrue(order.confirms())
    }

    // An instance that keeps reporting a withdrawn version must not stop others from serving.
    @Test
    fun `repeated reports of a withdrawn version end 10 s after the start at the latest`() {
        val order = starting()
        repeat(SECONDS_REPORTED) { second ->
            order.receive(EraReport(era = 2, version = 10, ageMillis = 0))
            assertEquals(second < 10, order.isOutdated)
            assertEquals(second >= 10, order.confirms())
            nowMillis += 1_000
        }
        assertEquals(5, order.version)
    }

    @Test
    fun `impossible ages and other eras have no effect beyond the limit`() {
        for (age in listOf(Long.MIN_VALUE, -1, Long.MAX_VALUE)) {
            val order = starting()
            order.receive(EraReport(era = 2, version = Long.MAX_VALUE, ageMillis = age))
            nowMillis += 10_000
            assertTrue(order.confirms(), "age $age")
            assertFalse(order.isOutdated)
        }
        val order = starting()
        for (era in listOf(Long.MIN_VALUE, 1, 3, Long.MAX_VALUE)) order.receive(EraReport(era, version = 10))
        nowMillis += StartInquiry.ANSWER_MILLIS
        assertTrue(order.confirms())
    }

    // Any process may send datagrams to the port between instances.
    @Test
    fun `a running instance keeps serving whatever others report`() {
        val order = starting()
        nowMillis += HOUR_MILLIS
        for (version in listOf(10, Long.MAX_VALUE)) order.receive(EraReport(era = 2, version, ageMillis = 0))
        assertTrue(order.confirms())
        assertFalse(order.isOutdated)
        val silent = ConfigurationOrder(clock).apply { observe(era = 2, revision = 30, version = 5) }
        silent.receive(EraReport(era = 2, version = 10))
        assertTrue(silent.confirms())
    }

    // After a restore, a running instance knows of the change itself, so that reports must not stop all instances.
    @Test
    fun `a running instance that saw the restore accepts no answers`() {
        val order = starting(version = 5, era = 2)
        nowMillis += HOUR_MILLIS
        order.observe(era = 3, revision = 30, version = 5)
        order.receive(EraReport(era = 3, version = 10))
        assertFalse(order.isOutdated)
        nowMillis += 2_000
        assertTrue(order.confirms())
    }

    // A withdrawn version that was reported once would have stopped the instance again after each restore.
    @Test
    fun `a report that no longer counts does not count after a later restore`() {
        val order = starting()
        order.receive(EraReport(era = 2, version = 10))
        nowMillis += 10_000
        assertFalse(order.isOutdated)
        order.observe(era = 3, revision = 30, version = 5)
        assertFalse(order.isOutdated)
        assertEquals(EraReport(4, 5), order.receive(EraReport(4)))
    }

    // The answer may be late on a busy machine, after the start was confirmed.
    @Test
    fun `an answer after the wait still marks the configuration as outdated`() {
        val other = running(version = 10)
        val order = starting()
        val question = checkNotNull(order.question())
        nowMillis += StartInquiry.ANSWER_MILLIS
        assertTrue(order.confirms())
        order.receive(checkNotNull(other.receive(question)))
        assertTrue(order.isOutdated)
        assertFalse(order.confirms())
    }

    // A running instance may read the restored store up to 0.7 s later than one that starts.
    @Test
    fun `an instance that has not read the store since the restore answers with its version`() {
        val other = order().apply { observe(era = 1, revision = 40, version = 10) }
        nowMillis += HOUR_MILLIS
        val order = starting(version = 5, era = 2)
        order.ask(other)
        assertTrue(order.isOutdated)
    }

    @Test
    fun `an instance that was told of a newer version tells the next one, with the age of the restore`() {
        val first = running(version = 10)
        nowMillis += 3_000
        val second = starting().also { it.ask(first) }
        nowMillis += 3_000
        assertEquals(EraReport(2, 10, 6_000), second.receive(EraReport(2)))
        val third = starting().also { it.ask(second) }
        nowMillis += 3_999
        assertTrue(third.isOutdated)
        nowMillis++
        assertFalse(third.isOutdated)
    }

    // After a restart of all instances none knows the newer version, so that they must not wait for one another.
    @Test
    fun `instances that start at once do not answer one another and start as before`() {
        val orders = List(3) { starting() }
        for (order in orders) for (other in orders) assertNull(other.receive(checkNotNull(order.question())))
        nowMillis += StartInquiry.ANSWER_MILLIS
        orders.forEach { assertTrue(it.confirms()) }
    }

    @Test
    fun `a newer version that was told in one era counts in the next one`() {
        val order = starting()
        order.receive(EraReport(era = 2, version = 10))
        nowMillis += 9_000
        order.observe(era = 3, revision = 30, version = 5)
        nowMillis += 2_000
        assertTrue(order.isOutdated)
        assertFalse(order.confirms())
    }

    private companion object {
        const val HOUR_MILLIS = 3_600_000L
        const val SECONDS_REPORTED = 15
    }
}
