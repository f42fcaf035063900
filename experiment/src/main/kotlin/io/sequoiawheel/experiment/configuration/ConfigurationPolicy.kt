package io.sequoiawheel.experiment.configuration

/** How accepted documents reach the entry instances. */
internal enum class ConfigurationPolicy(
    val label: String,
    val relays: Boolean = true,
    val repairs: Boolean = true,
    val checksGeneration: Boolean = true,
) {
    /** Watchers, a tree in each zone, repair by digests, generations that only rise. */
    OWN("sequoiawheel"),

    /** As ours, but an instance puts in force whatever arrives last. */
    LAST_ARRIVAL("last-arrival", checksGeneration = false),

    /** As ours, without the comparison of digests. */
    NO_REPAIR("no-repair", repairs = false),

    /** Every instance reads all accepted documents from the object API every 10 s. */
    POLL("poll-object-api", relays = false, repairs = false),
}
