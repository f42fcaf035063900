package io.sequoiawheel.core.quarantine

import io.sequoiawheel.core.model.Clock
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class PartQuarantineTest {
    private var nowMillis = 1_000_000L
    private val quarantine = newInstance("entry-1")
    private val shared = "a0"
    private val bad = "dead"
    private val other = "b1"
    private var replicas = 0

    private fun newInstance(name: String) = PartQuarantine(name, Clock { nowMillis })

    private fun newReplica() = Incarnation("replica-${replicas++}", startedAtMillis = 1)

    private fun partsOf(vararg ids: String) = ids.mapTo(LinkedHashSet(), ::PromptPart)

    /** Ends a replica under a request with [parts] whose response began 90 ms before. */
    private fun crash(
        vararg parts: String,
        at: PartQuarantine = quarantine,
        afterMillis: Long = 500,
    ): Incarnation {
        nowMillis += afterMillis
        return newReplica().also { at.recordLoss(it, partsOf(*parts), nowMillis - 90) }
    }

    private fun survive(
        vararg parts: String,
        at: PartQuarantine = quarantine,
    ) = at.recordSurvival(partsOf(*parts), nowMillis)

    private fun blocks(
        vararg parts: String,
        at: PartQuarantine = quarantine,
    ) = at.blocking(partsOf(*parts)) != null

    private fun exchange(
        from: PartQuarantine,
        to: PartQuarantine,
    ) {
        nowMillis += 10
        to.merge(from.report())
    }

    @Test
    fun `three replicas that end under a part lead to a verdict, two do not`() {
        repeat(2) { crash(bad) }
        assertFalse(blocks(bad))
        crash(bad)
        assertTrue(blocks(bad))
        assertFalse(quarantine.tryAdmit(partsOf(shared, bad)))
        assertFalse(blocks(shared, other))
    }

    // A sound part that most requests share is lost with every replica.
    @Test
    fun `a part with a run that went on is not blamed for the crashes that another explains`() {
        survive(shared)
        repeat(8) { crash(shared, bad) }
        assertEquals(partsOf(bad), quarantine.quarantined)
    }

    @Test
    fun `a run that went on after the crashes clears its parts`() {
        repeat(2) { crash(bad) }
        survive(bad)
        repeat(2) { crash(bad) }
        assertFalse(blocks(bad))
    }

    // A part may become harmful after it was sound for long.
    @Test
    fun `a part with earlier runs that went on needs five crashes in a row`() {
        survive(bad)
        repeat(4) { crash(bad) }
        assertFalse(blocks(bad))
        crash(bad)
        assertTrue(blocks(bad))
    }

    // A lost zone ends many replicas with everything that runs there.
    @Test
    fun `replicas that end in one moment count once`() {
        repeat(6) { crash(other, afterMillis = 10) }
        assertFalse(blocks(other))
    }

    @Test
    fun `requests that only waited are blamed if no response had just begun`() {
        repeat(3) {
            val replica = crash(bad)
            quarantine.recordLoss(replica, partsOf(other), begunMillis = null)
        }
        assertEquals(partsOf(bad), quarantine.quarantined)
        repeat(3) {
            nowMillis += 500
            quarantine.recordLoss(newReplica(), partsOf(other), begunMillis = null)
        }
        assertTrue(blocks(other))
    }

    @Test
    fun `a run that has gone on for long is not blamed`() {
        repeat(4) {
            nowMillis += 2_000
            quarantine.recordLoss(newReplica(), partsOf(other), nowMillis - PartQuarantine.SURVIVAL_MILLIS)
        }
        assertFalse(blocks(other))
    }

    // A reset of one connection is no end of a replica.
    @Test
    fun `a replica that answers soon afterwards has not ended`() {
        repeat(4) {
            val replica = crash(other)
            nowMillis += 400
            quarantine.recordLife(replica)
        }
        assertFalse(blocks(other))
    }

    // A replica that starts again under its id answers after some seconds.
    @Test
    fun `a replica that answers much later may have ended`() {
        repeat(3) {
            val replica = crash(bad)
            nowMillis += 2_500
            quarantine.recordLife(replica)
        }
        assertTrue(blocks(bad))
    }

    @Test
    fun `a request is suspected after two crashes`() {
        crash(bad)
        assertFalse(quarantine.isSuspected(partsOf(shared, bad)))
        crash(bad)
        assertTrue(quarantine.isSuspected(partsOf(shared, bad)))
    }

    // Each instance sees a part of the crashes only.
    @Test
    fun `instances add up their crashes, and one that starts anew learns the verdict`() {
        val second = newInstance("entry-2")
        crash(shared, bad)
        crash(shared, bad, at = second)
        exchange(quarantine, second)
        crash(shared, bad)
        exchange(quarantine, second)
        survive(shared)
        assertTrue(blocks(bad, at = second))
        val third = newInstance("entry-3")
        exchange(second, third)
        assertTrue(blocks(bad, at = third))
    }

    @Test
    fun `one crash that several instances report counts once`() {
        val second = newInstance("entry-2")
        repeat(2) {
            val replica = crash(bad)
            nowMillis += 300
            second.recordLoss(replica, partsOf(bad), nowMillis - 20)
        }
        exchange(second, quarantine)
        assertFalse(blocks(bad))
    }

    @Test
    fun `the first probe is sent by one instance, and a run that goes on ends the verdict everywhere`() {
        val second = newInstance("entry-2")
        repeat(3) { crash(bad) }
        exchange(quarantine, second)
        nowMillis += 4_000
        assertTrue(blocks(bad))
        nowMillis += 2_000
        assertTrue(blocks(bad, at = second))
        assertTrue(quarantine.tryAdmit(partsOf(bad)))
        assertFalse(quarantine.tryAdmit(partsOf(bad)))
        survive(bad)
        assertFalse(blocks(bad))
        exchange(quarantine, second)
        assertFalse(blocks(bad, at = second))
        exchange(second, quarantine)
        assertFalse(blocks(bad))
    }

    // Each probe may end a replica with everything that runs there.
    @Test
    fun `a part that goes on to end replicas is probed twice at most`() {
        repeat(3) { crash(bad) }
        var probes = 0
        repeat(3_600) {
            nowMillis += 1_000
            if (quarantine.tryAdmit(partsOf(bad))) {
                probes++
                crash(bad, afterMillis = 100)
            } else {
                quarantine.recordRefusal(partsOf(bad))
            }
        }
        assertEquals(2, probes)
    }

    // The holder of the next probe may have ended, or get no such request.
    @Test
    fun `another instance takes over a probe that is not sent`() {
        val second = newInstance("entry-2")
        repeat(3) { crash(bad) }
        exchange(quarantine, second)
        nowMillis += 16_000
        second.recordRefusal(partsOf(bad))
        exchange(second, quarantine)
        nowMillis += 2_000
        assertTrue(blocks(bad))
        assertFalse(blocks(bad, at = second))
    }

    @Test
    fun `a verdict ends when no request with its part arrives any more`() {
        repeat(3) { crash(bad) }
        nowMillis += 590_000
        assertEquals(1, quarantine.report().verdicts.size)
        nowMillis += 20_000
        assertNull(quarantine.blocking(partsOf(bad)))
        assertEquals(PartReport.NONE, quarantine.report())
    }

    @Test
    fun `two parts that only come together are both refused`() {
        repeat(3) { crash(bad, other) }
        assertEquals(partsOf(bad, other), quarantine.quarantined)
    }

    // A caller may combine a part that ends replicas with the parts of others.
    @Test
    fun `parts of others that come with a bad one are not refused for it`() {
        repeat(3) { crash(bad) }
        repeat(20) { crash(bad, "c$it") }
        assertEquals(partsOf(bad), quarantine.quarantined)
    }

    // Verdicts that displace each other were decided again and again, without end.
    @Test
    fun `more accused parts than verdicts are kept do not hold up the instance`() {
        for (group in 1..4) {
            val parts = Array(32) { "$group-$it" }
            repeat(3) { crash(*parts) }
        }
        assertTrue(quarantine.quarantined.size in 1..64)
    }

    @Test
    fun `reports and verdicts are bounded, and what exceeds the bounds is ignored`() {
        repeat(500) { number ->
            nowMillis += 300
            quarantine.recordLoss(newReplica(), (0..40).mapTo(HashSet()) { PromptPart("$number-$it") }, nowMillis)
        }
        val report = quarantine.report()
        assertTrue(report.crashes.size <= 16 && report.crashes.all { it.writing.size + it.waiting.size <= 16 })
        val verdicts =
            (1..5_000).map {
                ReportedVerdict(
                    PromptPart("f$it"),
                    revision = 1,
                    accusedForMillis = 1,
                    probeInMillis = 1,
                    holder = "x",
                    heldForMillis = 1,
                    unseenForMillis = 1,
                )
            }
        repeat(10) { quarantine.merge(PartReport(verdicts = verdicts.drop(it * 32))) }
        assertTrue(quarantine.quarantined.size <= 64, "${quarantine.quarantined.size} verdicts")
        quarantine.merge(PartReport(listOf(ReportedCrash("r", 1, ageMillis = -5, writing = listOf(PromptPart(bad))))))
        quarantine.merge(PartReport(verdicts = listOf(verdicts.first().copy(probeInMillis = Long.MAX_VALUE))))
        quarantine.merge(PartReport(survivals = mapOf(PromptPart("e".repeat(99)) to 1L)))
        assertFalse(blocks(bad))
    }
}
