package io.sequoiawheel.core.history

/**
 * Time limits behind "a few seconds" in the promises, in milliseconds, from the stated targets.
 *
 * @property zoneMillis time from accepting that a zone is taken out until no instance dispatches to it (P3)
 * @property leavingMillis time from marking a replica as leaving in the instance list until no instance dispatches to
 *   it (P7)
 * @property inForceMillis time from acceptance until a generation is in force at every connected instance (P9)
 * @property endMillis end of the observation, or null for the time of the last event; a limit that ends later is not
 *   checked
 */
data class CheckBounds(
    val zoneMillis: Long = 14_000,
    val leavingMillis: Long = 5_000,
    val inForceMillis: Long = 14_000,
    val endMillis: Long? = null,
)
