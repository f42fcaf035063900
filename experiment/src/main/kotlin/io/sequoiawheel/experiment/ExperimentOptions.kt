package io.sequoiawheel.experiment

/**
 * What the user chooses for one run.
 *
 * @property seed seed of every random number of the run
 * @property load offered work as a share of capacity; experiments without a notion of load ignore it
 */
data class ExperimentOptions(
    val seed: Long = 1,
    val load: Double = 0.9,
)
