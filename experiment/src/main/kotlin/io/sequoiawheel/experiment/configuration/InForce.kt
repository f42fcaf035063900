package io.sequoiawheel.experiment.configuration

import io.sequoiawheel.core.configuration.AcceptedDocument
import io.sequoiawheel.core.configuration.AppliedConfiguration
import io.sequoiawheel.core.model.ServiceName

/** What one entry instance has in force, with or without the check of generations. */
internal class InForce(
    private val checksGeneration: Boolean,
) {
    val applied = AppliedConfiguration()
    private val last = HashMap<ServiceName, AcceptedDocument>()

    /** Returns whether [document] was put in force. */
    fun apply(document: AcceptedDocument): Boolean {
        if (checksGeneration) return applied.apply(document)
        return last.put(document.service, document)?.generation != document.generation
    }

    fun documents(): Collection<AcceptedDocument> = if (checksGeneration) applied.inForce.value.values else last.values

    fun generations(): Map<ServiceName, Long> = documents().associate { it.service to it.generation }

    fun digest(): Long = AppliedConfiguration.digestOf(generations())
}
