package io.sequoiawheel.relay.control

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ZoneName
import io.sequoiawheel.core.relay.ListReliability
import io.sequoiawheel.core.relay.ReplicaDirectory
import io.sequoiawheel.core.relay.ReplicaEntry
import io.sequoiawheel.platform.ReplicaEntryCodec
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
) : KindListener<ReplicaEntry> {
    private val unreadable = UnreadableNames()

    /** Number of listed entries that cannot be read, up to the number of names that are kept. */
    val unreadableCount: Int get() = unreadable.count

    override fun onListingStarted() = unreadable.clear()

    override fun onListed(
        listing: StoreListing<ReplicaEntry>,
        reliability: ListReliability,
    ) {
        directory.replaceAll(listing.objects, reliability)
        onApplied()
        log.stateChange(
            "replicas listed",
            mapOf("entries" to listing.objects.size, "standing" to reliability.name, "era" to listing.era),
        )
    }

    override fun onChanged(
        change: KindChange<ReplicaEntry>,
        afterOutage: Boolean,
    ) {
        if (change.isDeleted) unreadable.remove(change.name)
        val entry = change.content
        val id = InstanceId(change.name)
        // Entries that never named a replica change nothing, however often others write them.
        if (entry == null && id !in directory) return
        if (entry == null) directory.remove(id, afterOutage && change.isDeleted) else directory.put(entry)
        onApplied()
        log.stateChange(
            if (entry == null) "replica removed" else "replica changed",
            mapOf(
                "replica" to id.value,
                "draining" to entry?.isDraining,
                "coldMilliseconds" to entry?.coldForMillis,
                "revision" to change.revision,
                "afterOutage" to afterOutage,
            ),
        )
    }

    override fun decode(target: StoreObject): ReplicaEntry? =
        try {
            ReplicaEntryCodec.decode(target.name, target.readableSpec()).also { unreadable.remove(target.name) }
        } catch (failure: UnreadableDocumentException) {
            reportUnreadable(target, failure)
            null
        }

    /** Logs an entry once, since others may write it again all the time. */
    private fun reportUnreadable(
        target: StoreObject,
        failure: UnreadableDocumentException,
    ) {
        metrics.count("objects.unreadable", StoreKind.REPLICAS.name)
        if (!unreadable.add(target.name)) return
        log.stateChange(
            "replica entry unreadable, replica not used",
            mapOf(
                "kind" to StoreKind.REPLICAS.name,
                "replica" to target.name,
                "revision" to target.revision,
                "bytes" to target.sizeBytes,
                "detail" to failure.message,
            ),
        )
    }
}

/**
 * Tracks the availability zones that operators evacuated. Others may name any number of zones, so that a change costs
 * the same however many there are, and is logged only if it concerns a replica.
 */
internal class EvacuationController(
    private val directory: ReplicaDirectory,
    private val log: DecisionLog,
) : KindListener<ZoneName> {
    override fun decode(target: StoreObject): ZoneName? = ZoneName(target.name).takeUnless { target.isBeingDeleted }

    override fun onListed(
        listing: StoreListing<ZoneName>,
        reliability: ListReliability,
    ) {
        val before = directory.evacuations.zones
        directory.evacuations.replaceAll(listing.objects.toSet(), reliability)
        val after = directory.evacuations.zones
        if (before != after) logZones(after)
    }

    override fun onChanged(
        change: KindChange<ZoneName>,
        afterOutage: Boolean,
    ) {
        val zone = ZoneName(change.name)
        val before = zone in directory.evacuations
        directory.evacuations.set(zone, isEvacuated = change.content != null)
        if (before == zone in directory.evacuations) return
        val zones = directory.all().mapTo(LinkedHashSet()) { it.entry.zone }
        if (zone in zones) logZones(zones.filter { it in directory.evacuations })
    }

    private fun logZones(zones: Collection<ZoneName>) =
        log.stateChange(
            "evacuated zones changed",
            mapOf("zones" to zones.take(LOGGED_ZONES).joinToString(",") { it.value }, "count" to zones.size),
        )

    private companion object {
        const val LOGGED_ZONES = 16
    }
}
