package io.sequoiawheel.experiment

/**
 * User-specified options of one run.
 *
 * @property seed seed of all random number generators of the run
 * @property load offered load as a share of capacity; ignored by experiments without a load
 */
data class ExperimentOptions(
    val seed: Long = 1,
    val load: Double = 0.9,
)
