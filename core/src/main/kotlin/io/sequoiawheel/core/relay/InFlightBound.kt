/*
 * The bound on what all instances together have in flight to one engine. An engine crashes if the requests that it
 * holds exceed its memory, so no request is placed beyond those that it runs and queues. Each instance decides alone,
 * from its own count and the latest load messages.
 */
package io.sequoiawheel.core.relay

/** Decides whether an engine may be sent another request or copy. Confined to one thread. */
class InFlightBound(
    private val fleet: FleetMembership,
) {
    /** Whether [replica] holds less than [engine] runs and queues. Copies and backups count as requests. */
    fun hasRoom(
        replica: Replica,
        engine: EngineProfile,
    ): Boolean = inFlight(replica) < engine.slots.toLong() + QUEUED_GENERATIONS

    /** Returns what all instances have in flight, or what this one has if it knows the load of no other. */
    private fun inFlight(replica: Replica): Int {
        val load = replica.load
        return if (fleet.loadAgeMillis == null) {
            load.running + load.copies
        } else {
            load.totalRunning + load.totalCopies
        }
    }

    companion object {
        /** What an engine queues beside the generations that it runs; it refuses more. */
        const val QUEUED_GENERATIONS = 72
    }
}
