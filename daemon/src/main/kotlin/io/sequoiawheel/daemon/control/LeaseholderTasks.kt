package io.sequoiawheel.daemon.control

import io.sequoiawheel.core.claim.ClaimExpiry
import io.sequoiawheel.core.configuration.AcceptedDocument
import io.sequoiawheel.core.configuration.DocumentAcceptor
import io.sequoiawheel.core.lease.Lease
import io.sequoiawheel.core.lease.LeasePolicy
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.platform.ObjectApi
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay

/**
 * The tasks that run on one instance of the deployment at a time: accepting documents and deleting expired claims under
 * the lease `acceptor`, and sending orders to engines under the lease `orders`.
 *
 * @param onAccepted called with each accepted document at once, so that it is relayed without waiting for a watch
 */
internal class LeaseholderTasks(
    self: InstanceId,
    private val objects: ObjectApi,
    private val tree: ZoneTree,
    private val clock: Clock,
    onAccepted: (AcceptedDocument) -> Unit,
) {
    private val policy = LeasePolicy()
    private val wallClock = Clock { System.currentTimeMillis() }
    private val acceptorLease = Lease(objects, "acceptor", self, clock, policy)
    private val acceptor = DocumentAcceptor(objects, self, wallClock, acceptorLease::isHeld, onAccepted)
    private val expiry = ClaimExpiry(objects, wallClock)

    /** The lease under which orders are sent. */
    val ordersLease = Lease(objects, "orders", self, clock, policy)

    /** The term of the leases in milliseconds. */
    val termMillis: Long get() = policy.termMillis

    /** Starts contending for the leases, and the tasks under the `acceptor` lease. */
    fun start(scope: CoroutineScope) {
        scope.supervise("acceptor lease") { LeaseContender(acceptorLease, tree, policy).run() }
        scope.supervise("orders lease") { LeaseContender(ordersLease, tree, policy).run() }
        scope.supervise("acceptor") { acceptor.run() }
        scope.supervise("claim expiry") { expireClaims() }
    }

    /** Resigns the leases, so that another instance can take over before their terms end. */
    suspend fun resign() {
        acceptorLease.resign()
        ordersLease.resign()
    }

    private suspend fun expireClaims() {
        while (true) {
            delay(EXPIRY_INTERVAL_MILLIS)
            if (acceptorLease.isHeld()) expiry.sweep(acceptorLease::isHeld)
        }
    }

    private companion object {
        // Claims are retained for days, and listing them is the largest read of the system.
        const val EXPIRY_INTERVAL_MILLIS = 600_000L
    }
}
