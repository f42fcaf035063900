package io.sequoiawheel.experiment.claims

import arrow.core.Either
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.platform.ObjectApi
import io.sequoiawheel.core.platform.ObjectKey
import io.sequoiawheel.core.platform.ObjectKind
import io.sequoiawheel.core.platform.ObjectListing
import io.sequoiawheel.core.platform.StoredObject
import io.sequoiawheel.core.serving.CallDemand
import io.sequoiawheel.core.serving.CallOutcome
import io.sequoiawheel.core.serving.CallRunner
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.job
import kotlinx.coroutines.plus
import kotlinx.coroutines.selects.select

/** The process of one entry instance, which can die at any suspension point. */
internal class EntryModel(
    val id: InstanceId,
    val slot: Int,
    parent: CoroutineScope,
) {
    /** Thrown wherever a dead process would have gone on. */
    class ProcessDied : Exception("the process died")

    private val death = CompletableDeferred<Unit>()

    /** Runs this process. */
    val scope: CoroutineScope =
        parent + SupervisorJob(parent.coroutineContext.job) +
            CoroutineExceptionHandler { _, error -> if (error !is ProcessDied) throw error }

    lateinit var runner: CallRunner

    /** Ends the process without any warning; calls of its coroutines to the outside have no effect from now on. */
    fun die() {
        death.complete(Unit)
        scope.cancel()
    }

    /** Runs [call]; returns null if the process dies first. */
    suspend fun run(call: CallDemand): CallOutcome? {
        if (death.isCompleted) return null
        val running = scope.async { runner.run(call) }
        return select {
            death.onAwait { null }
            running.onAwait { it }
        }
    }

    /** Returns the result of [block], unless the process is dead before or after it. */
    suspend fun <T> whileAlive(block: suspend () -> T): T {
        if (death.isCompleted) throw ProcessDied()
        return block().also { if (death.isCompleted) throw ProcessDied() }
    }

    /** Returns [api] as this process reaches it. */
    fun reach(api: ObjectApi): ObjectApi =
        object : ObjectApi {
            override suspend fun get(key: ObjectKey): Either<Failure, StoredObject> = whileAlive { api.get(key) }

            override suspend fun list(kind: ObjectKind): Either<Failure, ObjectListing> = whileAlive { api.list(kind) }

            override suspend fun put(
                key: ObjectKey,
                value: String,
                expectedVersion: Long,
            ): Either<Failure, Long> = whileAlive { api.put(key, value, expectedVersion) }

            override suspend fun delete(
                key: ObjectKey,
                expectedVersion: Long,
            ): Either<Failure, Unit> = whileAlive { api.delete(key, expectedVersion) }

            override suspend fun watch(
                kind: ObjectKind,
                revision: Long,
                waitMillis: Long,
            ): Either<Failure, ObjectListing> = whileAlive { api.watch(kind, revision, waitMillis) }
        }
}
