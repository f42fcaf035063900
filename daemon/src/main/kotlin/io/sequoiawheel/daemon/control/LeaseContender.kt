package io.sequoiawheel.daemon.control

import io.sequoiawheel.core.lease.Lease
import io.sequoiawheel.core.lease.LeasePolicy
import kotlinx.coroutines.delay

/**
 * Contends for a lease while this instance is a watcher of its zone. The ten watchers of five zones together read a
 * lease twice a second; 340 entry instances would read it 68 times a second.
 */
internal class LeaseContender(
    private val lease: Lease,
    private val tree: ZoneTree,
    private val policy: LeasePolicy,
) {
    /** Acquires and renews the lease until cancelled. */
    suspend fun run() {
        while (true) {
            if (tree.isWatcher || lease.isHeld()) lease.contendOrRenew()
            delay(if (lease.isHeld()) policy.renewMillis else policy.pollMillis)
        }
    }
}
