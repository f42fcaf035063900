package io.sequoiawheel.experiment.configuration

import arrow.core.Either
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.platform.ObjectApi
import io.sequoiawheel.core.platform.ObjectKey
import io.sequoiawheel.core.platform.ObjectKind
import io.sequoiawheel.core.platform.ObjectListing
import io.sequoiawheel.core.platform.StoredObject

/** The object API as a process reaches it that can be paused before and after each call. */
internal class GatedApi(
    private val api: ObjectApi,
    private val awaitRunning: suspend () -> Unit,
) : ObjectApi {
    override suspend fun get(key: ObjectKey): Either<Failure, StoredObject> = gated { api.get(key) }

    override suspend fun list(kind: ObjectKind): Either<Failure, ObjectListing> = gated { api.list(kind) }

    override suspend fun put(
        key: ObjectKey,
        value: String,
        expectedVersion: Long,
    ): Either<Failure, Long> = gated { api.put(key, value, expectedVersion) }

    override suspend fun delete(
        key: ObjectKey,
        expectedVersion: Long,
    ): Either<Failure, Unit> = gated { api.delete(key, expectedVersion) }

    override suspend fun watch(
        kind: ObjectKind,
        revision: Long,
        waitMillis: Long,
    ): Either<Failure, ObjectListing> = gated { api.watch(kind, revision, waitMillis) }

    private suspend fun <T> gated(call: suspend () -> T): T {
        awaitRunning()
        return call().also { awaitRunning() }
    }
}
