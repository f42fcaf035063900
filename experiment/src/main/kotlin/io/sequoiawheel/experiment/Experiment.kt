/*
 * Experiments run the library's decision logic in virtual time against the models of the stand-ins. The same seed gives
 * the same report on any machine, except for figures whose name ends in `CpuMicros`, which are measured CPU times.
 */
package io.sequoiawheel.experiment

/** An experiment that can be run by name. */
interface Experiment {
    /** The command-line name, such as `memory-pressure`. */
    val name: String

    /** A one-sentence description for the command-line help. */
    val summary: String

    /** Runs the experiment to completion. Starts no threads that outlive the call and does no I/O. */
    fun run(options: ExperimentOptions): ExperimentReport
}
