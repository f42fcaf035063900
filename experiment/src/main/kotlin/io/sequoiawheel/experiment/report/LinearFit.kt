package io.sequoiawheel.experiment.report

import org.apache.commons.math3.stat.regression.SimpleRegression

/**
 * A least-squares line through measured points.
 *
 * @property slope change of y per unit of x
 * @property intercept y at x = 0
 * @property slopeError standard error of the slope
 * @property rSquared share of the variance that the line explains, 0 to 1
 */
data class LinearFit(
    val slope: Double,
    val intercept: Double,
    val slopeError: Double,
    val rSquared: Double,
) {
    companion object {
        /** Fits a line to [points], of which there must be at least three. */
        fun of(points: List<LinePlot.Point>): LinearFit {
            require(points.size >= MINIMUM_POINTS) { "a fit needs $MINIMUM_POINTS points, got ${points.size}" }
            val regression = SimpleRegression()
            points.forEach { regression.addData(it.x, it.y) }
            return LinearFit(regression.slope, regression.intercept, regression.slopeStdErr, regression.rSquare)
        }

        private const val MINIMUM_POINTS = 3
    }
}
