package io.sequoiawheel.experiment.outage

/** How the fleet meets an object API that does not answer. */
internal enum class OutagePolicy(
    val label: String,
    val watchesEverywhere: Boolean,
    val backsOff: Boolean,
) {
    /** Two watchers a zone, full-jitter back-off up to 20 s. */
    OWN("sequoiawheel", watchesEverywhere = false, backsOff = true),

    /** Two watchers a zone that try again every second. */
    FIXED_RETRY("fixed-retry", watchesEverywhere = false, backsOff = false),

    /** Every instance watches, and tries again every second. */
    EVERY_INSTANCE("every-instance-watches", watchesEverywhere = true, backsOff = false),
}
