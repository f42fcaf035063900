package io.sequoiawheel.core.serving

import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.RequestId
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap

/**
 * Generations whose caller left. Each is cancelled at its engine after the resume window unless it was resumed here
 * or is read through another entry instance by then, and holds its room here until then. Thread-safe.
 */
class AbandonedGenerations(
    private val scope: CoroutineScope,
    private val engines: EngineGateway,
) {
    private val waiting = ConcurrentHashMap<RequestId, Entry>()

    /** Cancels [generation] after [windowMillis] and then runs [afterwards]. */
    fun add(
        replica: Instance,
        generation: RequestId,
        windowMillis: Long,
        afterwards: () -> Unit,
    ) {
        val job =
            scope.launch(start = CoroutineStart.LAZY) {
                delay(windowMillis)
                engines.cancelUnattended(replica, generation)
            }
        val entry = Entry(job, afterwards)
        waiting[generation] = entry
        job.invokeOnCompletion { if (waiting.remove(generation, entry)) afterwards() }
        job.start()
    }

    /** Stops the cancellation of [generation] and returns what was to run after it; null if it is not waiting here. */
    fun reclaim(generation: RequestId): (() -> Unit)? {
        val entry = waiting.remove(generation) ?: return null
        entry.job.cancel()
        return entry.afterwards
    }

    /** Waits until no generation is left. */
    suspend fun awaitEmpty() {
        while (waiting.isNotEmpty()) waiting.values.map { it.job }.joinAll()
    }

    private class Entry(
        val job: Job,
        val afterwards: () -> Unit,
    )
}
