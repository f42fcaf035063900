package io.sequoiawheel.standin.engine.internal

import io.sequoiawheel.standin.engine.ModelRequest

/** Scheduling state of one generation. */
internal class Sequence(
    val request: ModelRequest,
    val length: Int,
    val number: Long,
) {
    var produced = 0
    var blocks = 0
    var prefillRemaining = 0
    var isRunning = false
    var isDone = false
    var finishedAtMillis = 0L

    val tokens: Int get() = request.promptTokens + produced

    companion object {
        /** Order in which waiting sequences are admitted; running sequences are preempted in the reverse order. */
        val SERVICE_ORDER: Comparator<Sequence> =
            compareByDescending<Sequence> { it.request.priority }.thenBy { it.number }
    }
}
