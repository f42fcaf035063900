package io.sequoiawheel.standin.engine

/**
 * The outcome of one step.
 *
 * @property durationMillis when to call [EngineModel.step] again, counted from the step's start; 0 if the engine is
 *   idle and must be stepped after the next submission
 * @property events events that become visible at the end of the step
 */
class StepResult(
    val durationMillis: Double,
    val events: List<ModelEvent>,
) {
    /** Whether there is nothing to do until the next submission. */
    val isIdle: Boolean get() = durationMillis == 0.0

    companion object {
        /** The step of an engine without work. */
        val IDLE = StepResult(0.0, emptyList())
    }
}
