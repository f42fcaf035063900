/*
 * How long work takes on one replica, as a factor of the usual time. A slow-moving factor is learned from the streams
 * of the instances. A fast-moving factor is the speed that the replica reports in its responses relative to the mean of
 * its reports, so that a replica that always reports the same wrong figure is corrected by what its streams show.
 */
package io.sequoiawheel.core.pace

import io.sequoiawheel.core.model.Clock
import kotlin.math.abs
import kotlin.math.exp
import kotlin.math.ln

/**
 * A speed that a replica reported.
 *
 * @property hundredths how long work takes at the replica, in hundredths of the usual time
 * @property observedAtMillis when the response that said so arrived, by the clock of the local instance
 */
data class SpeedFigure(
    val hundredths: Int,
    val observedAtMillis: Long,
)

/** The factor that streams of one or more instances showed, and the number of observations it rests on. */
data class ObservedFactor(
    val factor: Double,
    val weight: Int,
)

/** The pace of one incarnation of a replica. Confined to one thread. */
class ReplicaPace(
    private val clock: Clock,
) {
    /** The latest figure of the replica, received by this instance or by another one; null before the first. */
    var figure: SpeedFigure? = null
        private set

    /** The latest figure in a response to this instance, or null before the first. */
    var ownFigure: SpeedFigure? = null
        private set

    /** What the streams of this instance showed, or null before the first observation. */
    var observed: ObservedFactor? = null
        private set

    /** What the streams of the other instances showed, or null if they reported nothing. */
    var reported: ObservedFactor? = null
        private set

    /** Whether the replica reported its speed to any instance, which enables placement by speed for its service. */
    val isKnown: Boolean get() = figure != null

    private var logMeanFigure = 0.0
    private var figuredMillis = 0.0

    /** Smoothed share of figures that the next one, if it came soon, confirmed. */
    private var persistence = 1.0

    /** The slow-moving mean of the figures, in hundredths. */
    val typicalFigure: Double get() = USUAL * exp(logMeanFigure)

    /** Records a figure that a response to this instance named. */
    fun recordFigure(hundredths: Int) {
        val newer = SpeedFigure(hundredths, clock.nowMillis())
        ownFigure = newer
        applyFigure(newer)
    }

    /** Applies a figure that any instance received; older ones than the latest are ignored. */
    fun applyFigure(newer: SpeedFigure) {
        val previous = figure
        val bounded = newer.copy(hundredths = newer.hundredths.coerceIn(MINIMUM_FIGURE, MAXIMUM_FIGURE))
        if (previous != null && bounded.observedAtMillis <= previous.observedAtMillis) return
        val heldMillis =
            if (previous == null) MAXIMUM_HOLD_MILLIS else bounded.observedAtMillis - previous.observedAtMillis
        if (previous != null) recordPersistence(previous, bounded, heldMillis)
        recordMean(previous ?: bounded, heldMillis.coerceAtMost(MAXIMUM_HOLD_MILLIS).toDouble())
        // Small changes would only move requests back and forth between instances that see the same figures.
        val isSame = previous != null && abs(ln(bounded.logRatio(previous))) < FIGURE_HYSTERESIS
        figure = if (isSame && previous != null) bounded.copy(hundredths = previous.hundredths) else bounded
    }

    private fun SpeedFigure.logRatio(other: SpeedFigure) = hundredths.toDouble() / other.hundredths

    /** Figures that change faster than they can be used would only move the load back and forth. */
    private fun recordPersistence(
        previous: SpeedFigure,
        newer: SpeedFigure,
        heldMillis: Long,
    ) {
        if (heldMillis > PERSISTENCE_MILLIS) return
        val isKept = abs(ln(newer.logRatio(previous))) < NOTABLE_CHANGE
        persistence += ((if (isKept) 1.0 else 0.0) - persistence) * PERSISTENCE_WEIGHT
    }

    /** Each figure counts for the time until the next one, since instances report changes more often than the same. */
    private fun recordMean(
        held: SpeedFigure,
        heldMillis: Double,
    ) {
        figuredMillis = minOf(figuredMillis + heldMillis, MEAN_MILLIS)
        logMeanFigure += (ln(held.hundredths / USUAL) - logMeanFigure) * (heldMillis / figuredMillis).coerceAtMost(1.0)
    }

    /** Records that a stream took [factor] times as long as its batch explains, at the current speed of the replica. */
    fun recordObservation(factor: Double) {
        val value = ln((factor / speed()).coerceIn(MINIMUM_FACTOR, MAXIMUM_FACTOR))
        val known = observed
        if (known == null) {
            observed = ObservedFactor(exp(value), 1)
            return
        }
        val weight = (known.weight + 1).coerceAtMost(MAXIMUM_OWN_WEIGHT)
        val previous = ln(known.factor)
        val bound = if (weight > SETTLED_WEIGHT) MAXIMUM_STEP else Double.MAX_VALUE
        // A spell that no figure announced must not be taken for the replica's usual speed.
        val step = (value - previous).coerceIn(-bound, bound)
        observed = ObservedFactor(exp(previous + step / weight), weight)
    }

    /** Sets what the streams of the other instances showed. */
    fun applyReport(report: ObservedFactor?) {
        reported = report?.let { it.copy(factor = it.factor.coerceIn(MINIMUM_FACTOR, MAXIMUM_FACTOR)) }
    }

    /** Returns the slow-moving factor; 1 is as usual. */
    fun usual(): Double {
        val prior = logMeanFigure.coerceIn(-MAXIMUM_LOG_PRIOR, MAXIMUM_LOG_PRIOR)
        val parts = listOfNotNull(observed, reported)
        val weight = PRIOR_WEIGHT + parts.sumOf { it.weight }
        return exp((PRIOR_WEIGHT * prior + parts.sumOf { it.weight * ln(it.factor) }) / weight)
    }

    /** Returns the fast-moving factor relative to the slow-moving one; a figure loses its weight as it ages. */
    fun speed(): Double {
        val known = figure ?: return 1.0
        val ageMillis = (clock.nowMillis() - known.observedAtMillis).coerceAtLeast(0)
        val logRatio = (ln(known.hundredths / USUAL) - logMeanFigure).coerceIn(-MAXIMUM_LOG_SPEED, MAXIMUM_LOG_SPEED)
        val trust = ((persistence - VOLATILE_SHARE) / (STEADY_SHARE - VOLATILE_SHARE)).coerceIn(0.0, 1.0)
        return exp(logRatio * trust * exp(-ageMillis / FIGURE_LIFE_MILLIS))
    }

    /** Returns how long work takes now, as a factor of the usual time. */
    fun factor(): Double = usual() * speed()

    companion object {
        /** The figure of a replica that works as usual. */
        const val USUAL = 100.0

        /** A figure outside these bounds says no more than the bound. */
        private const val MINIMUM_FIGURE = 10
        private const val MAXIMUM_FIGURE = 2_000
        private const val MINIMUM_FACTOR = 0.1
        private const val MAXIMUM_FACTOR = 10.0

        /** Spells of slowness last about 600 ms, so half of them are over at this age. */
        private const val FIGURE_LIFE_MILLIS = 400.0

        /** Figures are compared if they are closer than this; a spell lasts about twice as long. */
        private const val PERSISTENCE_MILLIS = 350L
        private const val NOTABLE_CHANGE = 0.3
        private const val PERSISTENCE_WEIGHT = 0.15

        /** Below the first share of confirmed figures they are noise, above the second they count fully. */
        private const val VOLATILE_SHARE = 0.25
        private const val STEADY_SHARE = 0.6

        /** Nothing is known of the time after a figure, so that it counts no longer than a spell lasts. */
        private const val MAXIMUM_HOLD_MILLIS = 600L

        /** Several spells, so that the mean does not follow any one of them. */
        private const val MEAN_MILLIS = 20_000.0

        /** Changes below 15% are within the noise of a batch. */
        private const val FIGURE_HYSTERESIS = 0.15

        /** A factor of 2 in either direction, so that a replica whose figures are wrong still gets streams. */
        private const val MAXIMUM_LOG_PRIOR = 0.7

        /** A factor of 4 in either direction. */
        private const val MAXIMUM_LOG_SPEED = 1.4

        /** The mean of the figures counts as much as this many observations of streams. */
        private const val PRIOR_WEIGHT = 3

        private const val MAXIMUM_OWN_WEIGHT = 30
        private const val SETTLED_WEIGHT = 4
        private const val MAXIMUM_STEP = 0.3
    }
}
