package io.sequoiawheel.daemon.control

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.sequoiawheel.core.membership.MembershipTable
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.serving.Demand
import io.sequoiawheel.core.serving.Placed
import io.sequoiawheel.core.serving.Placement
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean

/** Chooses the eligible replica with the fewest requests of this instance. Thread-safe. */
internal class OutstandingPlacement(
    private val membership: MembershipTable,
) : Placement {
    private val outstanding = ConcurrentHashMap<InstanceId, Int>()

    override suspend fun place(
        demand: Demand,
        avoided: Set<InstanceId>,
    ): Either<Failure, Placed> {
        val eligible =
            membership.replicas(demand.document.service).filter {
                membership.mayReceiveWork(it.id) && it.zone !in demand.document.zonesOut
            }
        val preferred = eligible.filter { it.id !in avoided }.ifEmpty { eligible }
        val replica =
            preferred.minByOrNull { outstanding[it.id] ?: 0 }
                ?: return Failure(ResultCode.NO_REPLICA, retryAfterMillis = RETRY_AFTER_MILLIS).left()
        outstanding.merge(replica.id, 1, Int::plus)
        return Room(replica).right()
    }

    private inner class Room(
        override val replica: Instance,
    ) : Placed {
        private val finished = AtomicBoolean()
        override val queueMillis = 0L

        override fun onFirstToken(elapsedMillis: Long) = Unit

        override fun finish(
            verdict: Placed.Verdict,
            tokens: Int,
        ) {
            if (finished.compareAndSet(false, true)) outstanding.merge(replica.id, -1, Int::plus)
        }
    }

    private companion object {
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}
