package io.sequoiawheel.cli.demo

import io.sequoiawheel.core.model.DocumentValidator
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Test

class DemoPlanTest {
    private val plans = listOf(DemoPlan.kelani, DemoPlan.manjadi)

    /** Guards against a demo that stops at its start because the deployments' documents are not accepted. */
    @Test
    fun `the documents are valid`() =
        plans.flatMap { listOf(it.engineDocument, it.plainDocument) }.forEach { document ->
            assertEquals(emptyList<Any>(), DocumentValidator.validate(document))
        }

    /** Guards against a demo that shows nothing because a failing engine is in the zone that is out of service. */
    @Test
    fun `the dying and the leaving engine differ and stay in zones that serve`() =
        plans.forEach { plan ->
            assertNotEquals(plan.dyingEngine, plan.leavingEngine)
            val zones =
                plan.standIns.backends
                    .filter { it.id == plan.dyingEngine || it.id == plan.leavingEngine }
                    .map { it.zone }
            assertEquals(2, zones.size)
            assertEquals(emptyList<Any>(), zones.filter { it == plan.changedZone })
        }
}
