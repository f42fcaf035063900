package io.sequoiawheel.relay

import io.sequoiawheel.standin.platform.PartCrashMeter
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Prompts with parts that end every replica which begins an answer to them, sent to a fleet on real sockets. */
class CrashingPartTest {
    private val fixture = RelayFixture()
    private val others = ArrayList<RelayDaemon>()
    private var replicas: CrashingReplicas? = null

    @AfterEach
    fun close() {
        replicas?.close()
        others.forEach { it.close() }
        fixture.close()
    }

    private fun startFleet(parts: Set<String>): CrashingReplicas {
        fixture.configure()
        fixture.startOnPort(FreePorts.allocate())
        for (number in 2..INSTANCES) others += fixture.startInstance("entry-$number", FreePorts.allocate())
        RelayFixture.awaitTrue("all instances are live") { fleet().all { it.liveInstances == INSTANCES } }
        return CrashingReplicas(fixture, parts).also {
            it.start()
            replicas = it
        }
    }

    private fun fleet() = listOf(fixture.daemon) + others

    private fun CrashingReplicas.assertContained(sinceMillis: Long) {
        for (part in crashingParts) {
            val late = meter.lateSends(part)
            val detail = "$late sends of $part later than the contact time, ${meter.crashes(part)} crashes"
            assertTrue(late <= PartCrashMeter.ALLOWED_LATE_SENDS, detail)
        }
        val sound = meter.served(sinceMillis..Long.MAX_VALUE)
        assertTrue(sound.total >= MINIMUM_SOUND && sound.value >= SOUND_SHARE, "$sound of the sound requests")
    }

    // Each instance sent such requests on and again, so that replica after replica ended with all that ran there.
    @Test
    fun `prompts with a part that ends replicas reach no more of them soon after the fifth crash`() {
        val replicas = startFleet(setOf("dead01"))
        replicas.call(::fleet, RUN_MILLIS)
        replicas.assertContained(SETTLED_MILLIS)
    }

    @Test
    fun `two parts that end replicas at the same time are both contained`() {
        val replicas = startFleet(setOf("dead01", "dead02"))
        replicas.call(::fleet, RUN_MILLIS)
        replicas.assertContained(SETTLED_MILLIS)
    }

    private companion object {
        const val INSTANCES = 3
        const val RUN_MILLIS = 11_000L

        /** Twice the contact time after the fifth crash, which comes in the first seconds. */
        const val SETTLED_MILLIS = 7_000L
        const val MINIMUM_SOUND = 20

        /** What sound requests reach while replicas end for other reasons only, in the measurements of the users. */
        const val SOUND_SHARE = 0.93
    }
}
