package io.sequoiawheel.core.scheduling

import io.sequoiawheel.core.relay.EngineProfile
import io.sequoiawheel.core.relay.Replica

/**
 * The load up to which an engine may take a new generation. All instances see the same loads, so requests are ordered
 * across instances by thresholds: they leave room for short and urgent requests, and rise with the share of its longest
 * wait that a request has waited, so that what has waited longer goes first and nothing is starved.
 *
 * @property memoryShare share of the memory that may be in use with the request
 * @property promptShare share of the objective within which the prompts ahead are read
 */
internal data class AdmissionThresholds(
    val memoryShare: Double,
    val promptShare: Double,
) {
    /** Whether [replica] is below the thresholds. An empty engine takes any request. */
    fun admits(
        replica: Replica,
        request: AdmissionRequest,
        engine: EngineProfile,
    ): Boolean {
        val load = replica.load
        val aheadMillis = GenerationSize.promptMillis(load.totalPromptTokens) * replica.pace.factor()
        val memory = load.totalTokens + request.demand.tokens
        return load.totalRunning == 0 ||
            load.totalRunning < engine.slots &&
            memory <= engine.memoryTokens * memoryShare &&
            aheadMillis <= request.objectiveMillis * promptShare
    }

    companion object {
        /** The memory that remains is that of two or three short requests with prompts of 2,200 tokens. */
        private const val LONG_MEMORY_SHARE = 0.85
        private const val URGENT_LONG_MEMORY_SHARE = 0.95
        private const val SHORT_MEMORY_SHARE = 0.95
        private const val DEFERRABLE_MEMORY_SHARE = 0.7

        /** Long requests have long objectives; a fifth of 4 s are the prompts of about two of them. */
        private const val LONG_PROMPT_SHARE = 0.2
        private const val URGENT_LONG_PROMPT_SHARE = 0.3
        private const val SHORT_PROMPT_SHARE = 0.4
        private const val URGENT_SHORT_PROMPT_SHARE = 0.5
        private const val DEFERRABLE_PROMPT_SHARE = 0.1

        /** Above this share, the prompt itself is hardly read within the objective. */
        private const val LARGEST_PROMPT_SHARE = 0.6

        /**
         * Returns the thresholds for [request].
         *
         * @param progress share of its longest wait that the request has waited, from 0 to 1
         * @param isDeferrable whether requests that can still meet their objective go before it
         */
        fun of(
            request: AdmissionRequest,
            progress: Double,
            isDeferrable: Boolean,
        ): AdmissionThresholds {
            val isUrgent = request.rank <= 0
            val initial =
                when {
                    isDeferrable -> AdmissionThresholds(DEFERRABLE_MEMORY_SHARE, DEFERRABLE_PROMPT_SHARE)
                    request.isShort && isUrgent -> AdmissionThresholds(1.0, URGENT_SHORT_PROMPT_SHARE)
                    request.isShort -> AdmissionThresholds(SHORT_MEMORY_SHARE, SHORT_PROMPT_SHARE)
                    isUrgent -> AdmissionThresholds(URGENT_LONG_MEMORY_SHARE, URGENT_LONG_PROMPT_SHARE)
                    else -> AdmissionThresholds(LONG_MEMORY_SHARE, LONG_PROMPT_SHARE)
                }
            return AdmissionThresholds(
                initial.memoryShare + (1.0 - initial.memoryShare) * progress,
                initial.promptShare + (LARGEST_PROMPT_SHARE - initial.promptShare) * progress,
            )
        }
    }
}
