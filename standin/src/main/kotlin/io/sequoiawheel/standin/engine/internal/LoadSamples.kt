package io.sequoiawheel.standin.engine.internal

import io.sequoiawheel.core.model.LoadReport
import io.sequoiawheel.standin.engine.EngineSettings

/** Recent samples of the engine's load, from which the delayed load report is served. */
internal class LoadSamples(
    private val settings: EngineSettings.Report,
) {
    private class Sample(
        val takenAtMillis: Long,
        val report: LoadReport,
    )

    private val samples = ArrayDeque<Sample>()

    fun isDue(nowMillis: Long): Boolean {
        val last = samples.lastOrNull() ?: return true
        return nowMillis - last.takenAtMillis >= settings.sampleMillis
    }

    fun add(
        report: LoadReport,
        nowMillis: Long,
    ) {
        samples.addLast(Sample(nowMillis, report))
        while (samples.size > 1 && samples[1].takenAtMillis <= nowMillis - settings.lagMillis) samples.removeFirst()
    }

    /** Returns the newest report that is at least as old as the configured lag, or the oldest one. */
    fun delayedReport(nowMillis: Long): LoadReport {
        val sample =
            samples.lastOrNull { it.takenAtMillis <= nowMillis - settings.lagMillis } ?: samples.first()
        return sample.report.copy(ageMillis = nowMillis - sample.takenAtMillis)
    }

    fun clear() = samples.clear()
}
