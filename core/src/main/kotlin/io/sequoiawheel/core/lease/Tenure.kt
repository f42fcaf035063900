package io.sequoiawheel.core.lease

/**
 * A period in which this instance holds a lease.
 *
 * @property acquiredAt when the acquisition was confirmed, on this instance's clock, in milliseconds
 * @property validUntil the holder must not act from this time on; each renewal extends it
 */
data class Tenure(
    val fencing: Long,
    val acquiredAt: Long,
    val validUntil: Long,
)
