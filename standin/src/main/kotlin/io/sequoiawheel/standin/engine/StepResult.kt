package io.sequoiawheel.standin.engine

/**
 * The result of one engine step.
 *
 * @property durationMillis time from the start of the step until [EngineModel.step] must be called again; 0 if the
 *   engine is idle and the next step follows the next submission
 * @property events events to publish at the end of the step
 */
class StepResult(
    val durationMillis: Double,
    val events: List<ModelEvent>,
) {
    /** Whether the engine has no work until the next submission. */
    val isIdle: Boolean get() = durationMillis == 0.0

    companion object {
        /** Result of a step of an idle engine. */
        val IDLE = StepResult(0.0, emptyList())
    }
}
