package io.sequoiawheel.daemon.control

import io.sequoiawheel.core.lease.Lease
import io.sequoiawheel.core.lease.LeasePolicy
import kotlinx.coroutines.delay

/**
 * Contends for a lease while this instance is a watcher of its zone. Ten watchers in five zones read a lease twice a
 * second; 340 daemons would read it 68 times.
 */
internal class LeaseDuty(
    private val lease: Lease,
    private val tree: ZoneTree,
    private val policy: LeasePolicy,
) {
    /** Contends and renews until cancelled. */
    suspend fun run() {
        while (true) {
            if (tree.isWatcher || lease.isHeld()) lease.contendOrRenew()
            delay(if (lease.isHeld()) policy.renewMillis else policy.pollMillis)
        }
    }
}
