package io.sequoiawheel.experiment.control

import io.sequoiawheel.experiment.report.LinePlot.Point
import io.sequoiawheel.experiment.report.LinearFit

/**
 * Measurements of a quantity at several sizes, with a linear fit.
 *
 * @property name the measured quantity, ending in its unit
 * @property per the varied size
 */
internal data class Slope(
    val name: String,
    val per: String,
    val points: List<Point>,
) {
    val fit: LinearFit = LinearFit.of(points)

    /** Returns the fitted value at [size], never below zero. */
    fun at(size: Double): Double = (fit.intercept + fit.slope * size).coerceAtLeast(0.0)

    /** Returns the figures of the fit for a report. */
    fun figures(): Map<String, Double> =
        mapOf(
            "$name per $per" to fit.slope,
            "$name at zero $per" to fit.intercept,
            "$name per $per standardError" to fit.slopeError,
            "$name per $per rSquared" to fit.rSquared,
        )

    companion object {
        /** Measures [quantity] at each of [sizes]. */
        fun measure(
            name: String,
            per: String,
            sizes: List<Int>,
            quantity: (Int) -> Double,
        ): Slope = Slope(name, per, sizes.map { Point(it.toDouble(), quantity(it)) })
    }
}
