package io.sequoiawheel.core.relay

import io.sequoiawheel.core.rollout.RolloutReport

/** The content of the last message that is compared to decide whether a new message is needed. */
internal data class SentContent(
    val generationTokens: Map<String, Pair<Long, Long>> = emptyMap(),
    val leaving: StartsByReplica = emptyMap(),
    val rates: Map<String, Double?> = emptyMap(),
    val partsVersion: Int = 0,
    val versions: RolloutReport = RolloutReport.NONE,
) {
    companion object {
        /** Returns the content of a message about [work]. */
        fun of(
            work: WorkByReplica,
            leaving: StartsByReplica,
            limits: LimitsByReplica,
            partsVersion: Int,
            versions: RolloutReport,
        ) = SentContent(work.generationTokens(), leaving, limits.rates(), partsVersion, versions.withoutAges())
    }
}

/** Returns the memory and queued prompts of generations in tokens; plain calls are too short for a report. */
internal fun WorkByReplica.generationTokens(): Map<String, Pair<Long, Long>> =
    mapValues { it.value.tokens to it.value.promptTokens }.filterValues { it.first > 0 }
