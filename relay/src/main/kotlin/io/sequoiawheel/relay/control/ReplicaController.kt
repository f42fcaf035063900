package io.sequoiawheel.relay.control

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ZoneName
import io.sequoiawheel.core.relay.ListReliability
import io.sequoiawheel.core.relay.ReplicaDirectory
import io.sequoiawheel.core.relay.ReplicaEntry
import io.sequoiawheel.platform.ReplicaEntryCodec
import io.sequoiawheel.platform.StoreEvent
import io.sequoiawheel.platform.StoreKind
import io.sequoiawheel.platform.StoreObject
import io.sequoiawheel.platform.UnreadableDocumentException
import io.sequoiawheel.relay.internal.DecisionLog
import io.sequoiawheel.relay.internal.RelayMetrics

/**
 * Keeps the directory of replicas in sync with the platform's list. Replicas with unreadable entries are not used.
 *
 * @param onApplied called after each change of the directory
 */
internal class ReplicaController(
    private val directory: ReplicaDirectory,
    private val log: DecisionLog,
    private val metrics: RelayMetrics,
    private val onApplied: () -> Unit,
) : KindListener {
    private val unreadable = HashSet<String>()

    /** Number of listed entries that cannot be read. */
    val unreadableCount: Int get() = unreadable.size

    override fun onListed(
        listing: StoreListing,
        reliability: ListReliability,
    ) {
        unreadable.clear()
        directory.replaceAll(listing.objects.mapNotNull(::decode), reliability)
        onApplied()
        log.stateChange(
            "replicas listed",
            mapOf("entries" to listing.objects.size, "standing" to reliability.name, "era" to listing.era),
        )
    }

    override fun onChanged(
        event: StoreEvent,
        afterOutage: Boolean,
    ) {
        unreadable.remove(event.target.name)
        val entry = if (event.isDeleted) null else decode(event.target)
        val id = InstanceId(event.target.name)
        if (entry == null) directory.remove(id, afterOutage && event.isDeleted) else directory.put(entry)
        onApplied()
        log.stateChange(
            if (entry == null) "replica removed" else "replica changed",
            mapOf(
                "replica" to id.value,
                "draining" to entry?.isDraining,
                "coldMilliseconds" to entry?.coldForMillis,
                "revision" to event.target.revision,
                "afterOutage" to afterOutage,
            ),
        )
    }

    private fun decode(target: StoreObject): ReplicaEntry? =
        try {
            ReplicaEntryCodec.decode(
                target.name,
                target.spec ?: throw UnreadableDocumentException("spec is not an object or nested too deeply"),
            )
        } catch (failure: UnreadableDocumentException) {
            unreadable += target.name
            metrics.count("objects.unreadable", StoreKind.REPLICAS.name)
            log.stateChange(
                "replica entry unreadable, replica not used",
                mapOf(
                    "kind" to StoreKind.REPLICAS.name,
                    "replica" to target.name,
                    "revision" to target.revision,
                    "detail" to failure.message,
                ),
            )
            null
        }
}

/** Tracks the availability zones that operators evacuated. */
internal class EvacuationController(
    private val directory: ReplicaDirectory,
    private val log: DecisionLog,
) : KindListener {
    override fun onListed(
        listing: StoreListing,
        reliability: ListReliability,
    ) = loggingZoneChanges {
        val zones = listing.objects.filter { !it.isBeingDeleted }.mapTo(HashSet()) { ZoneName(it.name) }
        directory.evacuations.replaceAll(zones, reliability)
    }

    override fun onChanged(
        event: StoreEvent,
        afterOutage: Boolean,
    ) = loggingZoneChanges {
        directory.evacuations.set(
            ZoneName(event.target.name),
            isEvacuated = !event.isDeleted && !event.target.isBeingDeleted,
        )
    }

    private fun loggingZoneChanges(change: () -> Unit) {
        val previous = directory.evacuations.zones
        change()
        val zones = directory.evacuations.zones
        if (zones == previous) return
        log.stateChange("evacuated zones changed", mapOf("zones" to zones.joinToString(",") { it.value }))
    }
}
