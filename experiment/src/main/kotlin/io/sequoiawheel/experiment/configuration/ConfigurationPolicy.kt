package io.sequoiawheel.experiment.configuration

/** How accepted documents are distributed to the entry instances. */
internal enum class ConfigurationPolicy(
    val label: String,
    val usesRelays: Boolean = true,
    val usesRepair: Boolean = true,
    val checksGeneration: Boolean = true,
) {
    /** Watchers, a relay tree in each zone, repair by digests, and generations that only increase. */
    OWN("sequoiawheel"),

    /** Like [OWN], but an instance puts the document that arrived last in force, whatever its generation. */
    LAST_ARRIVAL("last-arrival", checksGeneration = false),

    /** Like [OWN], without repair by digests. */
    NO_REPAIR("no-repair", usesRepair = false),

    /** Every instance reads all accepted documents from the object API every 10 s. */
    POLL("poll-object-api", usesRelays = false, usesRepair = false),
}
