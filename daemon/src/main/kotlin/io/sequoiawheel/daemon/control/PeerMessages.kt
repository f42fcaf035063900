package io.sequoiawheel.daemon.control

import io.sequoiawheel.core.configuration.AcceptedDocument
import io.sequoiawheel.core.configuration.SubtreeReport
import io.sequoiawheel.core.membership.MembershipUpdate
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.peer.generated.AcceptedEntry
import io.sequoiawheel.peer.generated.InstanceEntry
import io.sequoiawheel.peer.generated.ServiceGeneration
import kotlinx.collections.immutable.toImmutableList
import kotlinx.serialization.json.Json
import io.sequoiawheel.peer.generated.MembershipUpdate as MembershipMessage

/** Converts between the types of `core` and the messages exchanged by entry instances. */
internal object PeerMessages {
    private val json = Json { ignoreUnknownKeys = true }

    fun toMessage(accepted: AcceptedDocument): AcceptedEntry =
        AcceptedEntry
            .newBuilder()
            .setService(accepted.service.value)
            .setGeneration(accepted.generation)
            .setRecord(accepted.encode())
            .build()

    /** Returns the documents of [entries]. Undecodable entries are skipped; a later comparison repairs them. */
    fun fromMessages(entries: List<AcceptedEntry>): List<AcceptedDocument> =
        entries.mapNotNull { AcceptedDocument.decode(it.record).getOrNull() }

    fun toMessage(update: MembershipUpdate): MembershipMessage =
        MembershipMessage
            .newBuilder()
            .setSequence(update.sequence)
            .setWatcher(update.watcher.value)
            .addAllInstances(update.instances.map(::toMessage))
            .build()

    /** Returns the update in [message], or null if it is empty. */
    fun fromMessage(message: MembershipMessage): MembershipUpdate? {
        if (message.instancesCount == 0) return null
        val instances = message.instancesList.map { json.decodeFromString(Instance.serializer(), it.record) }
        return MembershipUpdate(InstanceId(message.watcher), message.sequence, instances.toImmutableList())
    }

    fun toMessages(lowest: Map<ServiceName, Long>): List<ServiceGeneration> =
        lowest.map { (service, generation) ->
            ServiceGeneration
                .newBuilder()
                .setService(service.value)
                .setGeneration(generation)
                .build()
        }

    fun reportOf(
        instances: Int,
        lowest: List<ServiceGeneration>,
    ) = SubtreeReport(instances, lowest.associate { ServiceName(it.service) to it.generation })

    private fun toMessage(instance: Instance): InstanceEntry =
        InstanceEntry.newBuilder().setRecord(Json.encodeToString(Instance.serializer(), instance)).build()
}
