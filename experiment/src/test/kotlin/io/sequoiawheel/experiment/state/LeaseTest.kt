package io.sequoiawheel.experiment.state

import io.sequoiawheel.core.lease.Lease
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.platform.ObjectApi
import io.sequoiawheel.standin.store.ObjectStoreModel
import io.sequoiawheel.standin.store.StoreFaults
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class LeaseTest {
    private fun TestScope.store() =
        ObjectStoreModel(Clock { currentTime }, RandomSource.XO_RO_SHI_RO_128_PP.create(1L), scope = backgroundScope)

    private fun TestScope.lease(
        api: ObjectApi,
        name: String,
    ) = Lease(api, "duty", InstanceId(name), Clock { currentTime })

    /** Guards against two simultaneous holders when answers are lost or a holder is disconnected for long. */
    @Test
    fun `at most one instance holds the lease and fencing numbers never decrease`() =
        runTest {
            val store = store()
            val clients = List(3) { store.client() }
            val leases = clients.mapIndexed { index, client -> lease(client, "i$index") }
            leases.forEach { backgroundScope.launch { it.run() } }
            val fencingNumbers = mutableListOf<Long>()
            repeat(600) { second ->
                if (second % 60 == 30) {
                    clients.forEach { it.faults = StoreFaults(latencyMillis = 0, lostAnswerProbability = 0.5) }
                    leases.indexOfFirst { it.isHeld() }.takeIf { it >= 0 }?.let {
                        clients[it].faults = StoreFaults(outage = true)
                    }
                }
                delay(1_000)
                val heldTenures = leases.mapNotNull { it.tenure }
                assertTrue(heldTenures.size <= 1)
                heldTenures.firstOrNull()?.let { fencingNumbers += it.fencing }
            }
            assertEquals(fencingNumbers.sorted(), fencingNumbers)
            assertTrue(fencingNumbers.distinct().size >= 5)
        }

    /** Guards against a holder that continues to act after a pause before it has renewed the lease. */
    @Test
    fun `a paused holder loses the lease and a resigned lease is taken over early`() =
        runTest {
            val store = store()
            val first = lease(store, "a")
            val second = lease(store, "b")
            first.contendOrRenew()
            assertTrue(first.isHeld())
            delay(13_000)
            assertFalse(first.isHeld())
            first.contendOrRenew()
            assertTrue(first.isHeld())
            first.resign()
            second.contendOrRenew()
            delay(2_100)
            second.contendOrRenew()
            assertEquals(2, second.tenure?.fencing)
        }
}
