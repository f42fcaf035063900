package io.sequoiawheel.core.claim

import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.WorkspaceName
import io.sequoiawheel.core.platform.ObjectKey
import io.sequoiawheel.core.platform.ObjectKind
import org.apache.commons.codec.digest.DigestUtils

/** What identifies a non-idempotent call: equal keys run at most once within the retention of the service. */
data class ClaimKey(
    val service: ServiceName,
    val workspace: WorkspaceName,
    val call: String,
    val idempotencyKey: String,
) {
    /** The object that holds the claim. Its name is a hash, since idempotency keys are arbitrary text. */
    val objectKey: ObjectKey by lazy { ObjectKey(ObjectKind.CLAIM, DigestUtils.sha256Hex(lengthPrefixed())) }

    // Lengths keep ("ab", "c") and ("a", "bc") apart.
    private fun lengthPrefixed(): String =
        listOf(service.value, workspace.value, call, idempotencyKey).joinToString("") { "${it.length}:$it" }
}
