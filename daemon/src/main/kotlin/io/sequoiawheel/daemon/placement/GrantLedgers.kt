package io.sequoiawheel.daemon.placement

import io.sequoiawheel.core.admission.MemoryPredictor
import io.sequoiawheel.core.admission.RunningEstimate
import io.sequoiawheel.core.admission.SafetyFactor
import io.sequoiawheel.core.grant.GrantLedger
import io.sequoiawheel.core.grant.GrantView
import io.sequoiawheel.core.grant.PeakEstimator
import io.sequoiawheel.core.membership.MembershipTable
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.LoadReport
import io.sequoiawheel.core.model.ServiceDocument
import io.sequoiawheel.daemon.http.Documents
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap

/**
 * The ledgers of the granting side, one for each replica of this zone. The load of a replica is polled while this
 * instance is its granting instance.
 *
 * @param readLoad returns the load report of a replica, or null if it cannot be read
 */
internal class GrantLedgers(
    private val self: Instance,
    private val membership: MembershipTable,
    private val documents: Documents,
    private val clock: Clock,
    private val readLoad: suspend (Instance, ServiceDocument) -> LoadReport?,
) {
    private val ledgers = ConcurrentHashMap<InstanceId, Entry>()

    /** Returns the ledger of [replica], or null if it is not a known replica of this zone. */
    fun ledger(replica: InstanceId): GrantLedger? = ledgers[replica]?.ledger

    /** Updates the ledgers and polls load reports until cancelled. */
    suspend fun run() {
        while (true) {
            update()
            delay(POLL_MILLIS)
        }
    }

    private suspend fun update() =
        coroutineScope {
            val replicas = membership.listed().filter { it.role == Instance.Role.BACKEND && it.zone == self.zone }
            ledgers.keys.retainAll(replicas.map { it.id }.toSet())
            for (replica in replicas) {
                val document = replica.service?.let(documents::find) ?: continue
                val entry = ledgers.computeIfAbsent(replica.id) { Entry(it, document) }
                val now = clock.nowMillis()
                val view = GrantView.of(membership, self.id, self.zone, replica.id, now)
                entry.ledger.update(view, replica.state == Instance.State.LEAVING, now)
                if (view.isResponsible) launch { poll(replica, document, entry) }
            }
        }

    private suspend fun poll(
        replica: Instance,
        document: ServiceDocument,
        entry: Entry,
    ) {
        val report = readLoad(replica, document) ?: return entry.ledger.markUnreachable()
        val now = clock.nowMillis()
        entry.safetyFactor.report(report.startId, report.preemptions, now)
        entry.ledger.report(report, now)
    }

    private inner class Entry(
        replica: InstanceId,
        document: ServiceDocument,
    ) {
        val safetyFactor = SafetyFactor()
        val ledger =
            GrantLedger(
                replica = replica,
                host = self.id,
                policy = document.coldStart,
                estimator = peakEstimator,
                capacity = { report, now -> (report.memoryCapacityTokens * safetyFactor.value(now)).toLong() },
            )
    }

    private companion object {
        const val POLL_MILLIS = 500L
        val peakEstimator =
            PeakEstimator { reservations ->
                MemoryPredictor.peakTokens(
                    reservations.map {
                        val remaining = (it.predictedTokens - it.producedTokens).coerceAtLeast(0)
                        RunningEstimate((it.promptTokens + it.producedTokens).toInt(), remaining.toInt())
                    },
                )
            }
    }
}
