package io.sequoiawheel.relay.control

import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.rollout.RolloutGate
import io.sequoiawheel.platform.RolloutCodec
import io.sequoiawheel.platform.StoreKind
import io.sequoiawheel.platform.StoreObject
import io.sequoiawheel.platform.StoredRollout
import io.sequoiawheel.platform.UnreadableDocumentException
import io.sequoiawheel.relay.internal.DecisionLog
import io.sequoiawheel.relay.internal.RelayMetrics

/** A rollout as it was read from the store; [stored] is null if it is known and its object cannot be read any more. */
internal class ListedRollout(
    val name: String,
    val revision: Long,
    val isBeingDeleted: Boolean,
    val stored: StoredRollout?,
)

/** Decodes the orders of rollouts, and reports objects that cannot be read. */
internal class RolloutDecoder(
    private val gate: RolloutGate,
    private val unreadable: UnreadableNames,
    private val log: DecisionLog,
    private val metrics: RelayMetrics,
) {
    /** Returns the rollout in [target], or null if it cannot be read and belongs to no known rollout. */
    fun decode(target: StoreObject): ListedRollout? =
        try {
            listed(target, RolloutCodec.decode(target)).also { unreadable.remove(target.name) }
        } catch (failure: UnreadableDocumentException) {
            report(target, failure)
            if (gate[ServiceName(target.name)] == null) null else listed(target, stored = null)
        }

    private fun listed(
        target: StoreObject,
        stored: StoredRollout?,
    ) = ListedRollout(target.name, target.revision, target.isBeingDeleted, stored)

    /** Logs an object once, since others may write it again all the time. */
    private fun report(
        target: StoreObject,
        failure: UnreadableDocumentException,
    ) {
        if (!unreadable.add(target.name)) return
        metrics.count("objects.unreadable", StoreKind.ROLLOUTS.name)
        log.stateChange(
            "rollout unreadable, not carried out",
            mapOf(
                "name" to target.name,
                "revision" to target.revision,
                "bytes" to target.sizeBytes,
                "detail" to failure.message,
            ),
        )
    }
}
