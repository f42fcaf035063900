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

    private fun replicaOrders(
        name: String,
        vararg models: String,
    ) = ReplicaOrders(replica(name), models.toSet(), emptyList())

    private class FakeEngine : EngineOrders {
        val receivedOrders = mutableListOf<Order>()
        var failure: Failure? = null
        var dropsOrders = false

        override suspend fun put(
            replica: Instance,
            order: Order,
            fencing: Long,
        ): Either<Failure, Unit> {
            failure?.let { return it.left() }
            if (!dropsOrders) receivedOrders += order
            return Unit.right()
        }

        override suspend fun read(replica: Instance) = receivedOrders.map { HeldOrder(it, 1, true) }.right()
    }

    /** Guards against a plan that leaves a model in use without a warm replica. */
    @Test
    fun `the last warm replica of a model in use is not unloaded`() {
        val document = document(ServiceDocument.Model("new", minimumWarmReplicas = 0))
        val both = listOf(replicaOrders("a", "old"), replicaOrders("b", "old"))
        assertEquals(1, OrderPlanner.plan(document, both) { true }.size)
        assertTrue(OrderPlanner.plan(document, listOf(replicaOrders("a", "old"))) { true }.isEmpty())
        assertEquals(1, OrderPlanner.plan(document, listOf(replicaOrders("a", "old"))) { false }.size)
    }

    /** Guards against loading a model a second time while the first load is in progress. */
    @Test
    fun `a load in progress counts as a replica`() {
        val document = document(ServiceDocument.Model("letters", minimumWarmReplicas = 1))
        val order = Order(Order.modelTarget("letters"), Order.LOADED)
        assertEquals(
            order,
            OrderPlanner.plan(document, listOf(replicaOrders("a"), replicaOrders("b"))) { true }.single().order,
        )
        val loading = replicaOrders("a").copy(held = listOf(HeldOrder(order, 1, isInEffect = false)))
        assertTrue(OrderPlanner.plan(document, listOf(loading, replicaOrders("b"))) { true }.isEmpty())
    }

    /** Guards against a version change on the only warm replica of a model in use. */
    @Test
    fun `the only warm replica changes its version after a second one is warm`() {
        val document = document(ServiceDocument.Model("letters", version = "2"))
        val first =
            OrderPlanner
                .plan(
                    document,
                    listOf(replicaOrders("a", "letters"), replicaOrders("b")),
                ) { true }
                .single()
        assertEquals(InstanceId("b") to Order.LOADED, first.replica.id to first.order.desired)
        val second =
            OrderPlanner.plan(
                document,
                listOf(replicaOrders("a", "letters"), replicaOrders("b", "letters")),
            ) { true }
        assertEquals(Order(Order.versionTarget("letters"), "2"), second.single().order)
    }

    /** Guards against orders without a lease or before the initial wait, and against accepting an unconfirmed order. */
    @Test
    fun `an order needs a held lease, one term of waiting and a confirmation`() =
        runTest {
            var now = 0L
            var tenure: Tenure? = null
            val engine = FakeEngine()
            val issuer = OrderIssuer(engine, { now }, { tenure }, termMillis = 15_000)
            val order = Order(Order.ROLE, "decode")

            suspend fun issue(fencing: ServiceDocument.Fencing) = issuer.issue(replica("a"), order, fencing)
            assertEquals(ResultCode.LEASE_LOST, issue(ServiceDocument.Fencing.CHECKED).leftOrNull()!!.code)
            tenure = Tenure(2, 0, 60_000)
            assertEquals(15_000, issue(ServiceDocument.Fencing.IGNORED).leftOrNull()!!.retryAfterMillis)
            assertTrue(engine.receivedOrders.isEmpty())
            assertTrue(issue(ServiceDocument.Fencing.CHECKED).isRight())
            now = 15_000
            engine.receivedOrders.clear()
            engine.dropsOrders = true
            assertEquals(ResultCode.ORDER_UNCONFIRMED, issue(ServiceDocument.Fencing.IGNORED).leftOrNull()!!.code)
            engine.failure = Failure(ResultCode.ORDER_FENCED)
            assertEquals(ResultCode.ORDER_FENCED, issue(ServiceDocument.Fencing.CHECKED).leftOrNull()!!.code)
        }

    /** Guards against doubling the load on the weight store when the lease holder changes. */
    @Test
    fun `the weight load limiter starts empty and keeps its rate`() {
        var now = 0L
        val limiter = WeightLoadLimiter(Clock { now }, loadsPerMinute = 6.0)
        assertEquals(10_000, limiter.tryAcquire())
        now = 10_000
        assertEquals(0, limiter.tryAcquire())
        assertTrue(limiter.tryAcquire() > 0)
    }
}
