package io.sequoiawheel.core.claim

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.WorkspaceName
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.junit.jupiter.api.Test

/** Guards against a pending write that is lost or repeated when requests and the background retry run concurrently. */
class PendingClaimWritesTest {
    private val queue = PendingClaimWrites(2)
    private val writes =
        listOf("a", "b", "c").map { name ->
            val key = ClaimKey(ServiceName("s"), WorkspaceName("w"), "call", name)
            val record = ClaimRecord(name, "", ClaimRecord.State.CLAIMED, InstanceId("i"), 0, 0)
            PendingClaimWrite.Release(ClaimTicket(key, record))
        }

    @Operation
    fun add(index: Int) = queue.add(writes[Math.floorMod(index, writes.size)])

    @Operation
    fun next(): String? = queue.next()?.ticket?.claimId

    @Operation
    fun remove(index: Int) = queue.remove(writes[Math.floorMod(index, writes.size)])

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
