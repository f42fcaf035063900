package io.sequoiawheel.core.configuration

import io.sequoiawheel.core.model.DocumentCodec
import io.sequoiawheel.core.model.ServiceDocument
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject

/** Lists the fields that differ between two documents, for the audit trail. */
internal object DocumentDiff {
    private const val MAXIMUM_CHANGES = 10
    private const val MAXIMUM_LENGTH = 160

    /** Returns `path: old -> new` for each changed field, limited in number and length. */
    fun between(
        before: ServiceDocument?,
        after: ServiceDocument,
    ): List<String> {
        if (before == null) return listOf("$: created")
        val changes = mutableListOf<String>()
        compare("$", parse(before), parse(after), changes)
        if (changes.size <= MAXIMUM_CHANGES) return changes
        return changes.take(MAXIMUM_CHANGES) + "and ${changes.size - MAXIMUM_CHANGES} more fields"
    }

    private fun parse(document: ServiceDocument): JsonElement = Json.parseToJsonElement(DocumentCodec.encode(document))

    private fun compare(
        path: String,
        before: JsonElement?,
        after: JsonElement?,
        changes: MutableList<String>,
    ) {
        when {
            before == after -> Unit
            before is JsonObject && after is JsonObject ->
                (before.keys + after.keys).forEach { compare("$path.$it", before[it], after[it], changes) }
            before is JsonArray && after is JsonArray && before.size == after.size ->
                before.indices.forEach { compare("$path[$it]", before[it], after[it], changes) }
            else -> changes += "$path: ${before ?: "absent"} -> ${after ?: "absent"}".take(MAXIMUM_LENGTH)
        }
    }
}
