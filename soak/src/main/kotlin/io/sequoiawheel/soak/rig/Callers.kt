/*
 * Callers of the entry instances. They keep connections for several calls, also while the instance shuts down, and open
 * new ones only to instances that the load balancer has in rotation.
 */
package io.sequoiawheel.soak.rig

import io.sequoiawheel.soak.history.Call
import io.sequoiawheel.soak.history.CallEnd
import io.sequoiawheel.soak.history.CallKind
import io.sequoiawheel.standin.platform.CallerStandIn
import io.sequoiawheel.standin.platform.ResponseEnd
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import java.io.IOException
import java.util.concurrent.locks.LockSupport

/** One open connection of a caller to [instance]. */
class CallerSession(
    val instance: String,
    port: Int,
    private val recorder: Recorder,
) : AutoCloseable {
    private val connection = CallerStandIn(port)

    /** Whether a further call may be sent. */
    var isOpen = true
        private set

    /** Sends a call and records its end. The caller leaves after [patienceMillis], or at its deadline if null. */
    fun call(
        kind: CallKind,
        patienceMillis: Long? = null,
        parts: List<String> = emptyList(),
    ) = begin(kind, patienceMillis, parts)()

    /** Sends a call. Returns the function that waits for its end and records it. */
    fun begin(
        kind: CallKind,
        patienceMillis: Long? = null,
        parts: List<String> = emptyList(),
    ): () -> Unit {
        val requestId = recorder.newRequestId()
        val sentMillis = recorder.nowMillis()
        val deadlineMillis = if (kind.isStream) STREAM_DEADLINE_MILLIS else DEADLINE_MILLIS
        if (connection.send("/${kind.route}/x", requestId, "body of $requestId", deadlineMillis, parts)) {
            return { finish(kind, requestId, sentMillis, patienceMillis ?: deadlineMillis, parts) }
        }
        isOpen = false
        recorder.calls += Call(requestId, kind, instance, sentMillis, recorder.nowMillis(), CallEnd.NOT_SENT)
        return {}
    }

    private fun finish(
        kind: CallKind,
        requestId: String,
        sentMillis: Long,
        patienceMillis: Long,
        parts: List<String>,
    ) {
        val response = connection.receive(patienceMillis)
        val end =
            when (response.end) {
                ResponseEnd.WHOLE -> CallEnd.ANSWERED
                ResponseEnd.CUT -> CallEnd.CUT
                ResponseEnd.NONE -> CallEnd.CLOSED
                ResponseEnd.TIMED_OUT -> CallEnd.LEFT
            }
        isOpen = !response.isLast
        recorder.calls +=
            Call(
                requestId,
                kind,
                instance,
                sentMillis,
                recorder.nowMillis(),
                end,
                response.status,
                response.requestId,
                response.signature,
                response.body,
                if (end == CallEnd.ANSWERED) connection.strayBytes() else 0,
                parts,
            )
        if (end == CallEnd.LEFT) connection.close()
    }

    override fun close() = connection.close()

    private companion object {
        const val DEADLINE_MILLIS = 2_500L
        const val STREAM_DEADLINE_MILLIS = 9_000L
    }
}

/** Parts of the prompts that callers send. */
object PromptParts {
    /** The first part of all prompts. */
    const val FIRST = "a0"
    private const val SECOND_PARTS = 6

    /** Returns parts on which no replica crashes. */
    fun sound(random: UniformRandomProvider) = listOf(FIRST, "b${random.nextInt(SECOND_PARTS)}")
}

/** What all callers of a run have in common at a time. */
class CallerHabits(
    private val longestStreamMillis: Int,
) {
    /** Whether most callers leave early. */
    @Volatile
    var isImpatient = false

    /** Returns when a caller leaves that is about to call, or null if it waits for the answer. */
    fun patienceMillis(
        kind: CallKind,
        random: UniformRandomProvider,
    ): Long? {
        val isLeavingEarly = random.nextInt(if (isImpatient) IMPATIENT_CALLS else CALLS_PER_EARLY_LEAVE) == 0
        if (!isLeavingEarly) return null
        return random.nextInt(1, if (kind.isStream) longestStreamMillis else EARLY_LEAVE_MILLIS).toLong()
    }

    private companion object {
        const val CALLS_PER_EARLY_LEAVE = 50
        const val IMPATIENT_CALLS = 2
        const val EARLY_LEAVE_MILLIS = 60
    }
}

/** One caller with random habits, which are a function of [seed]. */
class Caller(
    seed: Long,
    private val rotation: () -> List<EntryProcess>,
    private val recorder: Recorder,
    private val habits: CallerHabits,
    private val kinds: List<CallKind> = KINDS,
) {
    private val random: UniformRandomProvider = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)

    /** Calls until [isEnding] holds. */
    fun run(isEnding: () -> Boolean) {
        while (!isEnding()) {
            val targets = rotation()
            val target = targets.getOrNull(random.nextInt(maxOf(1, targets.size)))
            val session = target?.let(::connect)
            if (session == null) {
                Thread.sleep(RECONNECT_MILLIS)
            } else {
                session.use { converse(it, isEnding) }
            }
        }
    }

    private fun connect(target: EntryProcess): CallerSession? =
        try {
            CallerSession(target.name, target.callerPath.port, recorder)
        } catch (_: IOException) {
            null
        }

    private fun converse(
        session: CallerSession,
        isEnding: () -> Boolean,
    ) {
        var calls = random.nextInt(FEWEST_CALLS, MOST_CALLS)
        while (calls-- > 0 && session.isOpen && !isEnding()) {
            val kind = kinds[random.nextInt(kinds.size)]
            val patienceMillis = habits.patienceMillis(kind, random)
            val parts = if (kind.isStream) PromptParts.sound(random) else emptyList()
            session.call(kind, patienceMillis, parts)
            Thread.sleep(random.nextInt(LONGEST_PAUSE_MILLIS).toLong())
        }
    }

    companion object {
        /** Kinds of the calls of a caller that has no streams. */
        val PLAIN_KINDS = listOf(CallKind.SAFE, CallKind.UNSAFE)

        /** Calls that may not be repeated are the ones that most promises are about. */
        private val KINDS =
            listOf(
                CallKind.SAFE,
                CallKind.UNSAFE,
                CallKind.UNSAFE,
                CallKind.UNSAFE,
                CallKind.STREAM,
                CallKind.RESUMABLE_STREAM,
            )
        private const val FEWEST_CALLS = 1
        private const val MOST_CALLS = 40
        private const val LONGEST_PAUSE_MILLIS = 120
        private const val RECONNECT_MILLIS = 50L
    }
}

/**
 * Callers with open, idle connections to an instance that is told to shut down. Each sends one last call: a part of
 * them while the instance leaves, the others in the few milliseconds after it has stopped to accept connections. They
 * connect directly, since a proxy would add a delay to these moments.
 */
class LastCallers(
    private val instance: EntryProcess,
    private val recorder: Recorder,
    seed: Long,
) {
    private val random: UniformRandomProvider = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
    private val sessions = ArrayList<CallerSession>()

    /** Opens [count] connections, with one call on each. */
    fun connect(count: Int) {
        val opened = List(count) { runCatching { open() }.getOrNull() }
        sessions += opened.filterNotNull()
    }

    private fun open(): CallerSession {
        val session = CallerSession(instance.name, instance.port, recorder)
        session.call(CallKind.SAFE)
        return session
    }

    /** Sends the last calls of a shutdown that begins now. Returns when all of them have ended. */
    fun send() {
        val (early, late) = sessions.withIndex().partition { it.index % EARLY_SHARE == 0 }
        val threads =
            early.map { (index, session) ->
                val delayMillis = random.nextInt(LEAVING_MILLIS).toLong()
                startThread {
                    Thread.sleep(delayMillis)
                    session.call(kind(index))
                }
            }
        awaitListenerEnd()
        // One thread writes all requests, since waking a thread for each takes longer than the moments that are meant.
        val ends =
            late.map { (index, session) ->
                LockSupport.parkNanos(LATE_GAP_NANOS)
                session.begin(kind(index))
            }
        (threads + ends.map { end -> startThread(end) }).forEach { it.join() }
        sessions.forEach { it.close() }
    }

    private fun kind(index: Int) = if (index % 2 == 0) CallKind.SAFE else CallKind.UNSAFE

    private fun awaitListenerEnd() {
        val end = System.nanoTime() + WATCH_NANOS
        Thread.sleep(SHORTEST_LEAVE_MILLIS)
        while (System.nanoTime() < end && instance.isListening()) LockSupport.parkNanos(PROBE_GAP_NANOS)
    }

    private companion object {
        const val EARLY_SHARE = 4
        const val LEAVING_MILLIS = 2_500
        const val LATE_GAP_NANOS = 50_000L
        const val PROBE_GAP_NANOS = 300_000L
        const val SHORTEST_LEAVE_MILLIS = 1_500L
        const val WATCH_NANOS = 9_000_000_000L
    }
}
