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

/** Simulates the process of one entry instance, which can crash at any suspension point. */
internal class EntryModel(
    val id: InstanceId,
    val slot: Int,
    parent: CoroutineScope,
) {
    /** Thrown at the suspension points of a process that has crashed. */
    class ProcessDied : Exception("the process died")

    private val crashSignal = CompletableDeferred<Unit>()

    /** The scope of the coroutines of this process. */
    val scope: CoroutineScope =
        parent + SupervisorJob(parent.coroutineContext.job) +
            CoroutineExceptionHandler { _, error -> if (error !is ProcessDied) throw error }

    lateinit var runner: CallRunner

    /** Ends the process abruptly; external calls of its coroutines throw [ProcessDied] from now on. */
    fun crash() {
        crashSignal.complete(Unit)
        scope.cancel()
    }

    /** Runs [call]; returns null if the process crashes first. */
    suspend fun run(call: CallDemand): CallOutcome? {
        if (crashSignal.isCompleted) return null
        val running = scope.async { runner.run(call) }
        return select {
            crashSignal.onAwait { null }
            running.onAwait { it }
        }
    }

    /** Returns the result of [block]; throws [ProcessDied] if the process has crashed before or after it. */
    suspend fun <T> whileAlive(block: suspend () -> T): T {
        if (crashSignal.isCompleted) throw ProcessDied()
        return block().also { if (crashSignal.isCompleted) throw ProcessDied() }
    }

    /** Wraps [api] so that its calls throw [ProcessDied] once this process has crashed. */
    fun guard(api: ObjectApi): ObjectApi =
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
