package io.sequoiawheel.standin.engine.internal

import io.sequoiawheel.standin.engine.EngineSettings
import kotlin.math.pow

/** Tracks the warm-up progress of the engine and detects batches that are too large for it. */
internal class WarmupState(
    private val settings: EngineSettings.Cold,
    private val maximumConcurrent: Int,
    startsCold: Boolean,
) {
    private var steps = if (startsCold) 0 else settings.warmingSteps
    private var overloadedSteps = 0

    val isCold: Boolean get() = steps < settings.warmingSteps

    private val progress: Double get() = steps.toDouble() / settings.warmingSteps

    /** Factor applied to the step duration. */
    val slowdown: Double get() = if (isCold) 1 + (settings.slowdown - 1) * (1 - progress) else 1.0

    fun turnCold() {
        steps = 0
        overloadedSteps = 0
    }

    /** Records a step with [concurrent] requests in the batch; returns true if the overload crashes the engine. */
    fun recordStep(concurrent: Int): Boolean {
        if (!isCold) return false
        val growth = maximumConcurrent.toDouble() / settings.safeConcurrent
        val safeBatch = settings.safeConcurrent * growth.pow(progress)
        if (concurrent > safeBatch) overloadedSteps++ else overloadedSteps = 0
        steps++
        return overloadedSteps > settings.toleratedSteps
    }
}
