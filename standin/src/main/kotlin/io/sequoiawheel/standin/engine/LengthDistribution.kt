package io.sequoiawheel.standin.engine

import kotlinx.serialization.Serializable

/**
 * A log-normal distribution of output lengths.
 *
 * @property medianTokens median output length
 * @property sigma standard deviation of the logarithm; at 1.0 the mean is 1.65 and the 99th percentile ten medians
 */
@Serializable
data class LengthDistribution(
    val medianTokens: Double,
    val sigma: Double,
)
