package io.sequoiawheel.experiment.outage

/** How instances watch the object API and retry when it does not respond. */
internal enum class OutagePolicy(
    val label: String,
    val allInstancesWatch: Boolean,
    val usesBackoff: Boolean,
) {
    /** Two watchers per zone with full-jitter backoff up to 20 s. */
    OWN("sequoiawheel", allInstancesWatch = false, usesBackoff = true),

    /** Two watchers per zone that retry every second. */
    FIXED_RETRY("fixed-retry", allInstancesWatch = false, usesBackoff = false),

    /** Every instance watches and retries every second. */
    EVERY_INSTANCE("every-instance-watches", allInstancesWatch = true, usesBackoff = false),
}
