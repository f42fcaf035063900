package io.sequoiawheel.standin.engine

import kotlinx.serialization.Serializable

/**
 * A log-normal output length.
 *
 * @property medianTokens median of the length
 * @property sigma standard deviation of the logarithm; 1.0 gives a mean of 1.65 medians and a 99th percentile of ten
 */
@Serializable
data class LengthDistribution(
    val medianTokens: Double,
    val sigma: Double,
)
