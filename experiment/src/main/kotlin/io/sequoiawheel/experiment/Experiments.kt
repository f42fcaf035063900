package io.sequoiawheel.experiment

import io.sequoiawheel.experiment.claims.AtMostOnceExperiment
import io.sequoiawheel.experiment.configuration.ConfigurationExperiment
import io.sequoiawheel.experiment.outage.PlatformOutageExperiment

/** All experiments, in the order of the command line's help. */
object Experiments {
    /** Every experiment; each name occurs once. */
    val all: List<Experiment> =
        listOf(
            AtMostOnceExperiment(),
            ConfigurationExperiment(),
            PlatformOutageExperiment(),
        )

    /** Returns the experiment with this [name], or null. */
    fun named(name: String): Experiment? = all.firstOrNull { it.name == name }
}
