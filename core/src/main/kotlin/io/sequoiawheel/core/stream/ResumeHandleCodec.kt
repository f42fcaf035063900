package io.sequoiawheel.core.stream

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.WorkspaceName
import kotlinx.serialization.json.Json
import org.apache.commons.codec.digest.HmacAlgorithms
import org.apache.commons.codec.digest.HmacUtils
import java.security.MessageDigest
import java.util.Base64

/**
 * Encodes and verifies resume handles. The text is the base64url encoding of an HMAC-SHA256 followed by the handle as
 * JSON; all entry instances of a deployment use the same key. Thread-safe.
 *
 * @param key the resume key from the settings, at least [MINIMUM_KEY_BYTES] bytes
 */
class ResumeHandleCodec(
    private val key: ByteArray,
) {
    init {
        require(key.size >= MINIMUM_KEY_BYTES) { "the resume key needs at least $MINIMUM_KEY_BYTES bytes" }
    }

    /** Returns the text of [handle]. */
    fun encode(handle: ResumeHandle): String {
        val payload = Json.encodeToString(ResumeHandle.serializer(), handle).encodeToByteArray()
        return Base64.getUrlEncoder().withoutPadding().encodeToString(sign(payload) + payload)
    }

    /** Returns the handle in [text] if it is authentic and belongs to [workspace], else `INVALID_RESUME_HANDLE`. */
    fun decode(
        text: String,
        workspace: WorkspaceName,
    ): Either<Failure, ResumeHandle> {
        // A handle of another workspace fails like a forged one, so that the caller learns nothing about that
        // workspace.
        val handle = parse(text)?.takeIf { it.workspace == workspace }
        return handle?.right() ?: Failure(ResultCode.INVALID_RESUME_HANDLE).left()
    }

    private fun parse(text: String): ResumeHandle? {
        val bytes = decodeBase64(text) ?: return null
        if (bytes.size <= SIGNATURE_BYTES) return null
        val payload = bytes.copyOfRange(SIGNATURE_BYTES, bytes.size)
        val signature = bytes.copyOf(SIGNATURE_BYTES)
        if (!MessageDigest.isEqual(signature, sign(payload))) return null
        return Json.decodeFromString(ResumeHandle.serializer(), payload.decodeToString())
    }

    private fun decodeBase64(text: String): ByteArray? =
        try {
            Base64.getUrlDecoder().decode(text)
        } catch (error: IllegalArgumentException) {
            null
        }

    // HmacUtils is not thread-safe; creating one per handle takes microseconds.
    private fun sign(payload: ByteArray): ByteArray = HmacUtils(HmacAlgorithms.HMAC_SHA_256, key).hmac(payload)

    companion object {
        /** The shortest accepted key, as long as half the hash. */
        const val MINIMUM_KEY_BYTES = 16
        private const val SIGNATURE_BYTES = 32
    }
}
