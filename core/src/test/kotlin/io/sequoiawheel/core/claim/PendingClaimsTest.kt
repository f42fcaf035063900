package io.sequoiawheel.core.claim

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.WorkspaceName
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.junit.jupiter.api.Test

/** Guards against a pending release that is lost or repeated when requests and the background pass meet. */
class PendingClaimsTest {
    private val queue = PendingClaims(2)
    private val items =
        listOf("a", "b", "c").map { name ->
            val key = ClaimKey(ServiceName("s"), WorkspaceName("w"), "call", name)
            val record = ClaimRecord(name, "", ClaimRecord.State.CLAIMED, InstanceId("i"), 0, 0)
            PendingClaim.Release(ClaimTicket(key, record))
        }

    @Operation
    fun add(index: Int) = queue.add(items[Math.floorMod(index, items.size)])

    @Operation
    fun first(): String? = queue.first()?.ticket?.claimId

    @Operation
    fun remove(index: Int) = queue.remove(items[Math.floorMod(index, items.size)])

    @Operation
    fun size(): Int = queue.size

    @Test
    fun `operations are linearizable`() =
        ModelCheckingOptions()
            .iterations(5)
            .threads(3)
            .actorsPerThread(2)
            .invocationsPerIteration(500)
            .check(this::class)
}
