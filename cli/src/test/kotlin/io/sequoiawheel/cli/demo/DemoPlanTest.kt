package io.sequoiawheel.cli.demo

import io.sequoiawheel.core.model.DocumentValidator
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Test

class DemoPlanTest {
    private val plans = listOf(DemoPlan.kelani, DemoPlan.manjadi)

    /** Guards against a demo that fails at its start because a service document is rejected. */
    @Test
    fun `the service documents of both deployments are valid`() =
        plans.flatMap { listOf(it.engineDocument, it.plainDocument) }.forEach { document ->
            assertEquals(emptyList<Any>(), DocumentValidator.validate(document))
        }

    /** Guards against a failure that affects no request because its engine is in the zone that is out of service. */
    @Test
    fun `the failing and the leaving engine differ and are in zones that stay in service`() =
        plans.forEach { plan ->
            assertNotEquals(plan.failingEngine, plan.leavingEngine)
            val zones =
                plan.standIns.backends
                    .filter { it.id == plan.failingEngine || it.id == plan.leavingEngine }
                    .map { it.zone }
            assertEquals(2, zones.size)
            assertEquals(emptyList<Any>(), zones.filter { it == plan.changedZone })
        }
}
