/*
 * The use of engines by workspace, as this instance sees it. Callers reach instances at random, so a workspace that
 * sends many times its usual share does so at every instance, and no exchange of shares is needed.
 */
package io.sequoiawheel.core.scheduling

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.WorkspaceName
import kotlin.math.exp

/** Finds workspaces that send many times their usual share. Confined to one thread. */
class WorkspaceUsage(
    private val clock: Clock,
) {
    /** A sum whose weight decays exponentially. */
    private class DecayingSum(
        private val decayMillis: Double,
        private val startMillis: Long,
    ) {
        private var sum = 0.0
        private var atMillis = startMillis

        fun add(
            amount: Double,
            nowMillis: Long,
        ) {
            sum = value(nowMillis) + amount
            atMillis = nowMillis
        }

        fun value(nowMillis: Long) = sum * exp(-(nowMillis - atMillis) / decayMillis)

        /** Returns the amount for each millisecond, also if the sum has existed for less than its decay time. */
        fun rate(nowMillis: Long): Double {
            val weightMillis = decayMillis * (1 - exp(-(nowMillis - startMillis) / decayMillis))
            return if (weightMillis < 1) 0.0 else value(nowMillis) / weightMillis
        }
    }

    private inner class Usage(
        nowMillis: Long,
    ) {
        val recent = DecayingSum(RECENT_MILLIS, nowMillis)
        val usual = DecayingSum(USUAL_MILLIS, startMillis)
        val requests = DecayingSum(RECENT_MILLIS, nowMillis)
        var lastMillis = nowMillis
    }

    private val startMillis = clock.nowMillis()
    private val usages = HashMap<WorkspaceName, Usage>()

    /** Records a request of [workspace] that needs [tokens]. */
    fun record(
        workspace: WorkspaceName,
        tokens: Long,
    ) {
        val now = clock.nowMillis()
        if (workspace !in usages && !hasRoom(now)) return
        val usage = usages.getOrPut(workspace) { Usage(now) }
        val isInExcess = isInExcess(workspace)
        usage.recent.add(tokens.toDouble(), now)
        usage.requests.add(1.0, now)
        usage.lastMillis = now
        // What exceeds the share counts as usual after several minutes only.
        usage.usual.add(if (isInExcess) tokens * EXCESS_WEIGHT else tokens.toDouble(), now)
    }

    /** Whether [workspace] sends many times its usual share while others send too. */
    fun isInExcess(workspace: WorkspaceName): Boolean {
        val now = clock.nowMillis()
        val usage = usages[workspace] ?: return false
        if (now - startMillis < LEARNING_MILLIS || usage.requests.value(now) < MINIMUM_REQUESTS) return false
        val isAlone = usages.none { (name, other) -> name != workspace && now - other.lastMillis < RECENT_MILLIS }
        val recentRate = usage.recent.value(now) / RECENT_MILLIS
        return !isAlone && recentRate >= EXCESS_RATIO * usage.usual.rate(now)
    }

    private fun hasRoom(nowMillis: Long): Boolean {
        if (usages.size >= MAXIMUM_WORKSPACES) {
            usages.entries.removeIf { nowMillis - it.value.lastMillis > USUAL_MILLIS }
        }
        return usages.size < MAXIMUM_WORKSPACES
    }

    private companion object {
        /** An instance receives one request of each of ten workspaces in this time, ten at ten times the share. */
        const val RECENT_MILLIS = 20_000.0
        const val USUAL_MILLIS = 300_000.0
        const val LEARNING_MILLIS = 30_000L
        const val MINIMUM_REQUESTS = 3.5

        /** Bursts of all callers of 2.3 times are no excess of a workspace. */
        const val EXCESS_RATIO = 3.0
        const val EXCESS_WEIGHT = 0.4
        const val MAXIMUM_WORKSPACES = 1_024
    }
}
