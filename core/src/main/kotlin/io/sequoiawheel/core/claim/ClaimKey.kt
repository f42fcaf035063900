package io.sequoiawheel.core.claim

import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.WorkspaceName
import io.sequoiawheel.core.platform.ObjectKey
import io.sequoiawheel.core.platform.ObjectKind
import org.apache.commons.codec.digest.DigestUtils

/** Identifies a non-idempotent call: a key runs at most once within the service's retention period. */
data class ClaimKey(
    val service: ServiceName,
    val workspace: WorkspaceName,
    val call: String,
    val idempotencyKey: String,
) {
    /** Key of the claim object. The object name is a hash because idempotency keys are arbitrary text. */
    val objectKey: ObjectKey by lazy { ObjectKey(ObjectKind.CLAIM, DigestUtils.sha256Hex(lengthPrefixed())) }

    // The length prefixes make ("ab", "c") and ("a", "bc") different inputs.
    private fun lengthPrefixed(): String =
        listOf(service.value, workspace.value, call, idempotencyKey).joinToString("") { "${it.length}:$it" }
}
