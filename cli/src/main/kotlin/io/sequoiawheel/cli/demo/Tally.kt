package io.sequoiawheel.cli.demo

import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.WorkState
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Counts the final results of callers' requests. It is thread-safe. */
internal class Tally {
    private val byCode = ConcurrentHashMap<ResultCode, AtomicInteger>()
    private val withoutAnswer = AtomicInteger()
    private val resumed = AtomicInteger()
    private val repeated = AtomicInteger()

    /** Requests of all kinds. */
    val requests: Int get() = byCode.values.sumOf { it.get() } + withoutAnswer.get()

    /** Requests with a complete answer. */
    val completed: Int get() = count { it == ResultCode.OK || it == ResultCode.OK_RECORDED }

    /** Requests that were refused, finally, because nothing ran. */
    val refusedNotRun: Int get() = count { it.work == WorkState.NOT_RUN }

    /** Requests whose work may or may not have run. */
    val unknown: Int get() = count { it.work == WorkState.UNKNOWN }

    /** Generations that were told that they ended before their last token. */
    val interrupted: Int get() = count { it == ResultCode.STREAM_INTERRUPTED || it == ResultCode.CANCELLED }

    /** Requests that never got a final answer. */
    val lost: Int get() = withoutAnswer.get()

    /** Streams that were continued at another entry instance. */
    val resumes: Int get() = resumed.get()

    /** Calls that were sent twice with one key. */
    val repeats: Int get() = repeated.get()

    /** The results by name, the most frequent first. */
    val codes: Map<String, Int>
        get() =
            byCode.entries
                .sortedByDescending { it.value.get() }
                .associate { it.key.name to it.value.get() }

    /** Counts one final result; null is a request without an answer. */
    fun count(code: ResultCode?) {
        if (code == null) {
            withoutAnswer.incrementAndGet()
        } else {
            byCode.computeIfAbsent(code) { AtomicInteger() }.incrementAndGet()
        }
    }

    /** Counts a stream that was continued at another entry instance. */
    fun countResume() {
        resumed.incrementAndGet()
    }

    /** Counts a call that was sent twice. */
    fun countRepeat() {
        repeated.incrementAndGet()
    }

    private fun count(matches: (ResultCode) -> Boolean) = byCode.filterKeys(matches).values.sumOf { it.get() }
}
