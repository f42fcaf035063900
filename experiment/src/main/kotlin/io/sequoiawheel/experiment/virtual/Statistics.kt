package io.sequoiawheel.experiment.virtual

import org.apache.commons.math3.stat.descriptive.rank.Percentile

/** Statistics for experiment reports. */
internal object Statistics {
    /** Returns the percentile [p] of [values], from 0 to 100; 0 if there are none. */
    fun percentile(
        values: Collection<Long>,
        p: Double,
    ): Double {
        if (values.isEmpty()) return 0.0
        return Percentile().evaluate(values.map { it.toDouble() }.toDoubleArray(), p)
    }
}
