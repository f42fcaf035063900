package io.sequoiawheel.relay.serving

import io.sequoiawheel.core.quarantine.Incarnation
import io.sequoiawheel.core.quarantine.PromptPart
import io.sequoiawheel.core.quarantine.QuarantineListener
import io.sequoiawheel.relay.internal.DecisionLog
import io.sequoiawheel.relay.internal.RelayMetrics

/** Logs and counts the verdicts on prompt parts and the crashes that lead to them. */
internal class QuarantineLog(
    private val log: DecisionLog,
    private val metrics: RelayMetrics,
) : QuarantineListener {
    override fun onCrash(
        incarnation: Incarnation,
        writing: Collection<PromptPart>,
        waiting: Collection<PromptPart>,
        isRefuted: Boolean,
    ) = log.stateChange(
        if (isRefuted) "replica did not end with its connections" else "replica ended under requests",
        mapOf(
            "replica" to incarnation.replica,
            "replicaStartedAt" to incarnation.startedAtMillis,
            "writing" to writing.joinToString(",").ifEmpty { null },
            "waiting" to waiting.joinToString(",").ifEmpty { null },
        ),
    )

    override fun onQuarantined(
        part: PromptPart,
        accusations: Int,
    ) {
        metrics.count("parts", "quarantined")
        val source = if (accusations > 0) "evidence" else "peer"
        log.stateChange(
            "prompt part quarantined",
            mapOf("part" to part.id, "crashes" to accusations.takeIf { it > 0 }, "source" to source),
        )
    }

    override fun onReleased(
        part: PromptPart,
        reason: String,
    ) {
        metrics.count("parts", "released")
        log.stateChange("prompt part released", mapOf("part" to part.id, "detail" to reason))
    }

    override fun onProbe(part: PromptPart) {
        metrics.count("parts", "probed")
        log.stateChange("prompt part probed", mapOf("part" to part.id))
    }
}
