package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class StoreContactTest {
    private var nowMillis = 0L
    private val contact = StoreContact(Clock { nowMillis })

    private fun proveAt(millis: Long) {
        nowMillis = millis
        contact.recordProof(millis)
    }

    @Test
    fun `the first proof ends no outage`() {
        proveAt(100_000)
        assertFalse(contact.isAfterOutage)
    }

    @Test
    fun `a gap in which no entry can expire is no outage`() {
        proveAt(0)
        proveAt(StoreContact.MINIMUM_OUTAGE_MILLIS - 1)
        assertFalse(contact.isAfterOutage)
    }

    @Test
    fun `an outage is over for good once live replicas had time to register again`() {
        proveAt(0)
        proveAt(StoreContact.MINIMUM_OUTAGE_MILLIS)
        assertTrue(contact.isAfterOutage)
        proveAt(StoreContact.MINIMUM_OUTAGE_MILLIS + StoreContact.REREGISTRATION_MILLIS)
        assertTrue(contact.isAfterOutage)
        proveAt(StoreContact.MINIMUM_OUTAGE_MILLIS + StoreContact.REREGISTRATION_MILLIS + 1)
        assertFalse(contact.isAfterOutage)
    }

    // A hub's proof is older than its response, and may arrive after one of the store itself.
    @Test
    fun `an older proof does not begin a gap`() {
        proveAt(0)
        proveAt(2_000)
        contact.recordProof(1_000)
        proveAt(4_500)
        assertFalse(contact.isAfterOutage)
    }
}
