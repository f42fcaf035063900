package io.sequoiawheel.experiment

import io.sequoiawheel.experiment.claims.AtMostOnceExperiment
import io.sequoiawheel.experiment.configuration.ConfigurationExperiment
import io.sequoiawheel.experiment.control.ControlCostExperiment
import io.sequoiawheel.experiment.grants.ColdStartExperiment
import io.sequoiawheel.experiment.grants.EngineLossExperiment
import io.sequoiawheel.experiment.grants.ZoneChangeExperiment
import io.sequoiawheel.experiment.outage.PlatformOutageExperiment

/** All experiments, in the order of the command-line help. */
object Experiments {
    /** All experiments; names are unique. */
    val all: List<Experiment> =
        listOf(
            MemoryPressureExperiment,
            FairnessExperiment,
            PrefixCacheExperiment,
            ColdStartExperiment(),
            ZoneChangeExperiment(),
            EngineLossExperiment(),
            AtMostOnceExperiment(),
            ConfigurationExperiment(),
            PlatformOutageExperiment(),
            ControlCostExperiment(),
        )

    /** Returns the experiment with this [name], or null. */
    fun find(name: String): Experiment? = all.firstOrNull { it.name == name }
}
