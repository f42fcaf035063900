package io.sequoiawheel.experiment.configuration

import io.sequoiawheel.core.configuration.AcceptedDocument
import io.sequoiawheel.core.configuration.AppliedConfiguration
import io.sequoiawheel.core.model.ServiceName

/** The documents that one entry instance has in force, with or without the generation check. */
internal class DocumentsInForce(
    private val checksGeneration: Boolean,
) {
    val applied = AppliedConfiguration()
    private val lastArrived = HashMap<ServiceName, AcceptedDocument>()

    /** Puts [document] in force if it is new. Returns whether it was. */
    fun apply(document: AcceptedDocument): Boolean {
        if (checksGeneration) return applied.apply(document)
        return lastArrived.put(document.service, document)?.generation != document.generation
    }

    fun documents(): Collection<AcceptedDocument> =
        if (checksGeneration) applied.inForce.value.values else lastArrived.values

    fun generations(): Map<ServiceName, Long> = documents().associate { it.service to it.generation }

    fun digest(): Long = AppliedConfiguration.digestOf(generations())
}
