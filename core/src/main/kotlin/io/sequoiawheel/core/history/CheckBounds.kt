package io.sequoiawheel.core.history

/**
 * What "a few seconds" means in milliseconds, from the stated targets.
 *
 * @property zoneMillis time from the acceptance of a zone's take-out until no instance dispatches into it (P3)
 * @property leavingMillis time from the instance list's mark until no instance dispatches to a replica (P7)
 * @property inForceMillis time from acceptance until a generation is in force at every connected instance (P9)
 * @property endMillis when the observation of the run ended, null for the last event; what is not yet due by then is
 *   not decided
 */
data class CheckBounds(
    val zoneMillis: Long = 14_000,
    val leavingMillis: Long = 5_000,
    val inForceMillis: Long = 14_000,
    val endMillis: Long? = null,
)
