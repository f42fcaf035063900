package io.sequoiawheel.core.quarantine

/** Receives the changes of a [PartQuarantine], for logs and metrics. */
interface QuarantineListener {
    /** A replica ended, or another one of the requests that were lost with it became known. */
    fun onCrash(
        incarnation: Incarnation,
        writing: Collection<PromptPart>,
        waiting: Collection<PromptPart>,
        isRefuted: Boolean,
    ) = Unit

    /** [part] was quarantined; [accusations] crashes spoke against it, or 0 if another instance decided it. */
    fun onQuarantined(
        part: PromptPart,
        accusations: Int,
    ) = Unit

    /** [part] is no longer under quarantine. */
    fun onReleased(
        part: PromptPart,
        reason: String,
    ) = Unit

    /** A request with [part] is let through to find out whether the verdict still holds. */
    fun onProbe(part: PromptPart) = Unit

    companion object {
        val NONE = object : QuarantineListener {}
    }
}
