/*
 * The sums that decide whether one replica takes one more generation. They belong to whoever grants room at that
 * replica; the load report gives the capacity, heartbeats give the progress of the generations.
 */
package io.sequoiawheel.core.admission

import io.sequoiawheel.core.model.LoadReport
import io.sequoiawheel.core.model.RequestId

/** Reservations at one replica and the room that they leave. Thread-safe. */
class ReplicaMemory(
    private val factor: SafetyFactor = SafetyFactor(),
    private val pacer: PrefillPacer = PrefillPacer(),
) {
    private val reservations = LinkedHashMap<RequestId, GenerationForecast>()
    private var capacityTokens = 0L
    private var maximumConcurrent = 0

    /** Requests that the replica can still take beside the reserved ones. */
    val freeRequests: Int @Synchronized get() = maximumConcurrent - reservations.size

    /** Takes capacity and preemptions from a load report. */
    @Synchronized
    fun report(
        report: LoadReport,
        nowMillis: Long,
    ) {
        capacityTokens = report.memoryCapacityTokens
        maximumConcurrent = report.maximumConcurrent
        factor.report(report.startId, report.preemptions, nowMillis)
    }

    /**
     * Reserves room if the expected peak including [forecast] stays under the capacity times the safety factor and no
     * other prompt is being computed; returns whether it did.
     */
    @Synchronized
    fun reserve(
        id: RequestId,
        promptTokens: Int,
        forecast: GenerationForecast,
        nowMillis: Long,
    ): Boolean {
        if (maximumConcurrent <= reservations.size || pacer.isBusy(nowMillis)) return false
        val peak = MemoryPredictor.expectedPeakTokens(reservations.values + forecast)
        if (peak > budgetTokens(nowMillis)) {
            factor.reportDenial(nowMillis)
            return false
        }
        reservations[id] = forecast
        pacer.start(promptTokens, nowMillis)
        return true
    }

    /** Replaces the forecast of a reservation by one that knows its progress; ignores an unknown one. */
    @Synchronized
    fun update(
        id: RequestId,
        forecast: GenerationForecast,
    ) {
        reservations.computeIfPresent(id) { _, _ -> forecast }
    }

    /** Returns the room of a request that has ended. */
    @Synchronized
    fun release(id: RequestId) {
        reservations.remove(id)
    }

    /** Returns the tokens that the expected peak leaves free; negative if the forecasts have grown beyond it. */
    @Synchronized
    fun freeTokens(nowMillis: Long): Long =
        budgetTokens(nowMillis) - MemoryPredictor.expectedPeakTokens(reservations.values)

    private fun budgetTokens(nowMillis: Long): Long = (capacityTokens * factor.value(nowMillis)).toLong()
}
