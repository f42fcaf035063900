package io.sequoiawheel.core.claim

import io.sequoiawheel.core.model.InstanceId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/**
 * The stored value of a claim object.
 *
 * @property claimId unique for one attempt to claim; finding it in the object proves that this attempt succeeded
 * @property requestDigest digest of the request body, which must be the same for every call with the same key
 * @property createdAtEpochMillis wall-clock time of the claim; its retention period starts here
 * @property retentionMillis retention period, from the service document at the time of the claim
 */
@Serializable
internal data class ClaimRecord(
    val claimId: String,
    val requestDigest: String,
    val state: State,
    val claimedBy: InstanceId,
    val createdAtEpochMillis: Long,
    val retentionMillis: Long,
    val answer: ClaimAnswer? = null,
) {
    @Serializable
    enum class State {
        @SerialName("claimed")
        CLAIMED,

        @SerialName("completed")
        COMPLETED,

        @SerialName("released")
        RELEASED,
    }

    fun encode(): String = json.encodeToString(serializer(), this)

    companion object {
        // Unknown fields are ignored, so that a newer entry instance can add one during a rolling replacement.
        private val json = Json { ignoreUnknownKeys = true }

        fun decode(text: String): ClaimRecord = json.decodeFromString(serializer(), text)
    }
}
