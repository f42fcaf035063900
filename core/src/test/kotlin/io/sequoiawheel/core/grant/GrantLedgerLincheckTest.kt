package io.sequoiawheel.core.grant

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.LoadReport
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.model.ServiceDocument.ColdStartPolicy
import io.sequoiawheel.core.model.WorkspaceName
import org.jetbrains.lincheck.datastructures.IntGen
import org.jetbrains.lincheck.datastructures.Operation
import org.jetbrains.lincheck.datastructures.Param
import org.jetbrains.lincheck.datastructures.StressOptions
import org.junit.jupiter.api.Test

/** Guards against two concurrent reservations that both take the last free capacity. */
@Param(name = "request", gen = IntGen::class, conf = "1:4")
class GrantLedgerLincheckTest {
    private val host = InstanceId("host")
    private val ledger =
        GrantLedger(InstanceId("replica"), host, ColdStartPolicy(2)).also { ledger ->
            ledger.update(GrantView(isResponsible = true, members = setOf(host), isFresh = true), false, 0)
            val first = ledger.heartbeat(heartbeat(1, 0), 0)
            ledger.heartbeat(heartbeat(2, first.nonce), 0)
            ledger.report(LoadReport("s", memoryCapacityTokens = 100, maximumConcurrent = 2), NOW_MILLIS)
        }

    @Operation
    fun reserve(
        @Param(name = "request") request: Int,
    ): ReserveResult = ledger.reserve(host, Reservation(id(request), WorkspaceName("w"), 10, 10), NOW_MILLIS)

    @Operation
    fun release(
        @Param(name = "request") request: Int,
    ) = ledger.release(host, id(request))

    @Operation
    fun charged(): Capacity = ledger.charged(NOW_MILLIS)

    @Test
    fun `concurrent reservations are linearizable`() =
        StressOptions()
            .iterations(5)
            .threads(3)
            .actorsPerThread(3)
            .invocationsPerIteration(500)
            .check(this::class)

    private fun id(request: Int) = RequestId("r$request")

    private fun heartbeat(
        sequence: Long,
        echo: Long,
    ) = GrantHeartbeat(host, sequence, echo, "s", Capacity.NONE, emptyList(), isComplete = true)

    private companion object {
        const val NOW_MILLIS = 1_500L
    }
}
