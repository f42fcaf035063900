package io.sequoiawheel.core.relay

import io.sequoiawheel.core.rollout.RolloutReport

/** The content of the last message that is compared to decide whether a new message is needed. */
internal data class SentContent(
    val generationTokens: Map<String, Pair<Long, Long>> = emptyMap(),
    val leaving: StartsByReplica = emptyMap(),
    val rates: Map<String, Double?> = emptyMap(),
    val partsVersion: Int = 0,
    val versions: RolloutReport = RolloutReport.NONE,
)
