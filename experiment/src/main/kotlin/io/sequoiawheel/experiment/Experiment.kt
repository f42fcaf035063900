/*
 * Experiments run the library's decisions in virtual time against the models of the stand-ins. The same seed gives the
 * same report on any machine, except for figures whose name ends in `CpuMicros`, which are measured on the processor.
 */
package io.sequoiawheel.experiment

/** One named experiment. */
interface Experiment {
    /** The name on the command line, such as `memory-pressure`. */
    val name: String

    /** One sentence for the command line's help. */
    val summary: String

    /** Runs the experiment to its end. It starts no threads that outlive the call and does no I/O. */
    fun run(options: ExperimentOptions): ExperimentReport
}
