package io.sequoiawheel.experiment.configuration

import arrow.core.Either
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.platform.ObjectApi
import io.sequoiawheel.core.platform.ObjectKey
import io.sequoiawheel.core.platform.ObjectKind
import io.sequoiawheel.core.platform.ObjectListing
import io.sequoiawheel.core.platform.StoredObject

/** Wraps the object API for a process that can be paused before and after each call. */
internal class PausableApi(
    private val api: ObjectApi,
    private val awaitRunning: suspend () -> Unit,
) : ObjectApi {
    override suspend fun get(key: ObjectKey): Either<Failure, StoredObject> = pausable { api.get(key) }

    override suspend fun list(kind: ObjectKind): Either<Failure, ObjectListing> = pausable { api.list(kind) }

    override suspend fun put(
        key: ObjectKey,
        value: String,
        expectedVersion: Long,
    ): Either<Failure, Long> = pausable { api.put(key, value, expectedVersion) }

    override suspend fun delete(
        key: ObjectKey,
        expectedVersion: Long,
    ): Either<Failure, Unit> = pausable { api.delete(key, expectedVersion) }

    override suspend fun watch(
        kind: ObjectKind,
        revision: Long,
        waitMillis: Long,
    ): Either<Failure, ObjectListing> = pausable { api.watch(kind, revision, waitMillis) }

    private suspend fun <T> pausable(call: suspend () -> T): T {
        awaitRunning()
        return call().also { awaitRunning() }
    }
}
