package io.sequoiawheel.core.lease

/**
 * A period in which this instance holds a lease.
 *
 * @property acquiredAt when the lease was observed as acquired, on this instance's clock, in milliseconds
 * @property actUntil the holder must not act from this time on; each renewal moves it
 */
data class Tenure(
    val fencing: Long,
    val acquiredAt: Long,
    val actUntil: Long,
)
