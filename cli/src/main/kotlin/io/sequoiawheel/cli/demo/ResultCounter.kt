package io.sequoiawheel.cli.demo

import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.WorkState
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Counts the final results of callers' requests. Thread-safe. */
internal class ResultCounter {
    private val countsByCode = ConcurrentHashMap<ResultCode, AtomicInteger>()
    private val unanswered = AtomicInteger()
    private val resumeCount = AtomicInteger()
    private val duplicateSendCount = AtomicInteger()

    /** Requests of all kinds. */
    val requests: Int get() = countsByCode.values.sumOf { it.get() } + unanswered.get()

    /** Requests that received a complete response. */
    val completed: Int get() = count { it == ResultCode.OK || it == ResultCode.OK_RECORDED }

    /** Requests whose final result is a rejection that says that they did not run. */
    val refusedNotRun: Int get() = count { it.work == WorkState.NOT_RUN }

    /** Requests that may or may not have run. */
    val unknown: Int get() = count { it.work == WorkState.UNKNOWN }

    /** Generations that ended before their last token and whose caller was told so. */
    val interrupted: Int get() = count { it == ResultCode.STREAM_INTERRUPTED || it == ResultCode.CANCELLED }

    /** Requests that received no final response. */
    val lost: Int get() = unanswered.get()

    /** Streams that were resumed at another entry instance. */
    val resumes: Int get() = resumeCount.get()

    /** Calls that were sent twice with the same idempotency key. */
    val duplicateSends: Int get() = duplicateSendCount.get()

    /** Number of requests by name of result code, most frequent first. */
    val codes: Map<String, Int>
        get() =
            countsByCode.entries
                .sortedByDescending { it.value.get() }
                .associate { it.key.name to it.value.get() }

    /** Counts one final result; null stands for a request without a final response. */
    fun count(code: ResultCode?) {
        if (code == null) {
            unanswered.incrementAndGet()
        } else {
            countsByCode.computeIfAbsent(code) { AtomicInteger() }.incrementAndGet()
        }
    }

    /** Counts a stream that was resumed at another entry instance. */
    fun countResume() {
        resumeCount.incrementAndGet()
    }

    /** Counts a call that was sent twice with the same idempotency key. */
    fun countDuplicateSend() {
        duplicateSendCount.incrementAndGet()
    }

    private fun count(matches: (ResultCode) -> Boolean) = countsByCode.filterKeys(matches).values.sumOf { it.get() }
}
