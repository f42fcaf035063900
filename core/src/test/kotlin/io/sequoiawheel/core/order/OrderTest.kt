package io.sequoiawheel.core.order

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.sequoiawheel.core.lease.Tenure
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.ServiceDocument
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.ZoneName
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class OrderTest {
    private val writers = ServiceName("writers")

    private fun replica(name: String) =
        Instance(InstanceId(name), Instance.Role.BACKEND, ZoneName("a"), "r", "127.0.0.1:1", writers)

    private fun document(vararg models: ServiceDocument.Model) =
        ServiceDocument(writers, ServiceDocument.Kind.MODEL_ENGINE, "asha", models = models.toList())

    private fun with(
        name: String,
        vararg models: String,
    ) = ReplicaOrders(replica(name), models.toSet(), emptyList())

    private class Engine : EngineOrders {
        val taken = mutableListOf<Order>()
        var failure: Failure? = null
        var losesOrders = false

        override suspend fun put(
            replica: Instance,
            order: Order,
            fencing: Long,
        ): Either<Failure, Unit> {
            failure?.let { return it.left() }
            if (!losesOrders) taken += order
            return Unit.right()
        }

        override suspend fun read(replica: Instance) = taken.map { HeldOrder(it, 1, true) }.right()
    }

    /** Guards against a plan that leaves a model in use without any warm replica. */
    @Test
    fun `the last warm replica of a model in use is not unloaded`() {
        val document = document(ServiceDocument.Model("new", minimumWarmReplicas = 0))
        val both = listOf(with("a", "old"), with("b", "old"))
        assertEquals(1, OrderPlanner.plan(document, both) { true }.size)
        assertTrue(OrderPlanner.plan(document, listOf(with("a", "old"))) { true }.isEmpty())
        assertEquals(1, OrderPlanner.plan(document, listOf(with("a", "old"))) { false }.size)
    }

    /** Guards against loading a model twice while the first load is under way. */
    @Test
    fun `a load that is under way counts as a replica`() {
        val document = document(ServiceDocument.Model("letters", minimumWarmReplicas = 1))
        val order = Order(Order.modelTarget("letters"), Order.LOADED)
        assertEquals(order, OrderPlanner.plan(document, listOf(with("a"), with("b"))) { true }.single().order)
        val loading = with("a").copy(held = listOf(HeldOrder(order, 1, isInEffect = false)))
        assertTrue(OrderPlanner.plan(document, listOf(loading, with("b"))) { true }.isEmpty())
    }

    /** Guards against a change of version that takes the only warm replica of a model in use away. */
    @Test
    fun `the only warm replica changes its version after a second one is warm`() {
        val document = document(ServiceDocument.Model("letters", version = "2"))
        val first = OrderPlanner.plan(document, listOf(with("a", "letters"), with("b"))) { true }.single()
        assertEquals(InstanceId("b") to Order.LOADED, first.replica.id to first.order.desired)
        val second = OrderPlanner.plan(document, listOf(with("a", "letters"), with("b", "letters"))) { true }
        assertEquals(Order(Order.versionTarget("letters"), "2"), second.single().order)
    }

    /** Guards against orders without a lease, before the extra term, and against trusting an unconfirmed order. */
    @Test
    fun `orders need a tenure, the extra term and a read-back`() =
        runTest {
            var now = 0L
            var tenure: Tenure? = null
            val engine = Engine()
            val issuer = OrderIssuer(engine, { now }, { tenure }, termMillis = 15_000)
            val order = Order(Order.ROLE, "decode")

            suspend fun issue(fencing: ServiceDocument.Fencing) = issuer.issue(replica("a"), order, fencing)
            assertEquals(ResultCode.LEASE_LOST, issue(ServiceDocument.Fencing.CHECKED).leftOrNull()!!.code)
            tenure = Tenure(2, 0, 60_000)
            assertEquals(15_000, issue(ServiceDocument.Fencing.IGNORED).leftOrNull()!!.retryAfterMillis)
            assertTrue(engine.taken.isEmpty())
            assertTrue(issue(ServiceDocument.Fencing.CHECKED).isRight())
            now = 15_000
            engine.taken.clear()
            engine.losesOrders = true
            assertEquals(ResultCode.ORDER_UNCONFIRMED, issue(ServiceDocument.Fencing.IGNORED).leftOrNull()!!.code)
            engine.failure = Failure(ResultCode.ORDER_FENCED)
            assertEquals(ResultCode.ORDER_FENCED, issue(ServiceDocument.Fencing.CHECKED).leftOrNull()!!.code)
        }

    /** Guards against a new lease holder that doubles the load on the weight store. */
    @Test
    fun `the weight budget starts empty and holds its rate`() {
        var now = 0L
        val budget = WeightBudget(Clock { now }, loadsPerMinute = 6.0)
        assertEquals(10_000, budget.take())
        now = 10_000
        assertEquals(0, budget.take())
        assertTrue(budget.take() > 0)
    }
}
