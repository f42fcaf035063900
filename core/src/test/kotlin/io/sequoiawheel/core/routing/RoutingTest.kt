package io.sequoiawheel.core.routing

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceDocument.RetryPolicy
import io.sequoiawheel.core.model.ZoneName
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class RoutingTest {
    private val here = ZoneName("a")
    private val random = RandomSource.XO_RO_SHI_RO_128_PP.create(7)
    private val replicas = (1..4).map { InstanceId("r$it") }

    private fun view(
        name: String,
        free: Long,
        zone: ZoneName = here,
    ) = ReplicaView(InstanceId(name), zone, freeTokens = free, capacityTokens = 8_000, freeRequests = 4)

    /** Guards against a prefix match that routes a request to a replica without free memory. */
    @Test
    fun `a prefix match never outweighs memory pressure`() {
        val views = listOf(view("warm", 1_000), view("empty", 8_000))
        val chooser = ReplicaChooser(random)
        repeat(50) {
            val chosen =
                chooser.choose(views, ReplicaRequirements(here, 900, 900)) {
                    if (it.value == "warm") 900 else 0
                }
            assertEquals("empty", chosen!!.replica.value)
        }
    }

    /** Guards against leaving the local zone while it has capacity, and against staying in it when it has none. */
    @Test
    fun `another zone is used only when the local zone has no capacity`() {
        val chooser = ReplicaChooser(random)
        val far = view("far", 8_000, ZoneName("b"))
        assertEquals(
            "near",
            chooser.choose(listOf(view("near", 500), far), ReplicaRequirements(here, 400))!!.replica.value,
        )
        assertEquals(
            "far",
            chooser.choose(listOf(view("near", 300), far), ReplicaRequirements(here, 400))!!.replica.value,
        )
    }

    /** Guards against a network fault of the entry instance itself that ejects all replicas of a service. */
    @Test
    fun `at most half of the replicas are ejected`() {
        val ejector = Ejector(threshold = 2)
        replicas.forEach { replica -> repeat(2) { ejector.recordFailure(replica, 100) } }
        assertEquals(2, ejector.usable(replicas, 200).size)
        assertEquals(4, ejector.usable(replicas, 2_200).size)
    }

    /** Guards against retries that multiply the load of a failing service. */
    @Test
    fun `retries stay within the share of first attempts and the minimum per second`() {
        val budget = RetryBudget(RetryPolicy(ratio = 0.1, minimumPerSecond = 1.0, maximumAttempts = 3))
        repeat(100) { budget.recordFirstAttempt() }
        val allowed = (1..200).count { budget.tryAttempt(2, 0) }
        assertTrue(allowed in 19..20, "$allowed")
        assertTrue(budget.tryAttempt(2, 1_000))
        assertFalse(budget.tryAttempt(4, 9_000))
    }
}
