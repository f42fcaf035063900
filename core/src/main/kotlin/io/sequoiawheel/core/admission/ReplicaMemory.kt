/*
 * Memory accounting that decides whether a replica can admit another generation. It runs where capacity at that replica
 * is granted; load reports provide the capacity and heartbeats the progress of the generations.
 */
package io.sequoiawheel.core.admission

import io.sequoiawheel.core.model.LoadReport
import io.sequoiawheel.core.model.RequestId

/** The reservations at one replica and its remaining capacity. Thread-safe. */
class ReplicaMemory(
    private val factor: SafetyFactor = SafetyFactor(),
    private val pacer: PrefillPacer = PrefillPacer(),
) {
    private val reservations = LinkedHashMap<RequestId, GenerationForecast>()
    private var capacityTokens = 0L
    private var maximumConcurrent = 0

    /** The number of further requests that the replica can take. */
    val freeRequests: Int @Synchronized get() = maximumConcurrent - reservations.size

    /** Applies the capacity and the preemption counter of a load report. */
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
     * Reserves memory if the expected peak including [forecast] is within the capacity times the safety factor and no
     * other prompt is being computed. Returns whether it was reserved.
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

    /** Updates the forecast of a reservation to reflect its progress; ignores an unknown id. */
    @Synchronized
    fun update(
        id: RequestId,
        forecast: GenerationForecast,
    ) {
        reservations.computeIfPresent(id) { _, _ -> forecast }
    }

    /** Releases the reservation of a request that has ended. */
    @Synchronized
    fun release(id: RequestId) {
        reservations.remove(id)
    }

    /** Returns the budget minus the expected peak in tokens; negative if the forecasts have grown beyond the budget. */
    @Synchronized
    fun freeTokens(nowMillis: Long): Long =
        budgetTokens(nowMillis) - MemoryPredictor.expectedPeakTokens(reservations.values)

    private fun budgetTokens(nowMillis: Long): Long = (capacityTokens * factor.value(nowMillis)).toLong()
}
