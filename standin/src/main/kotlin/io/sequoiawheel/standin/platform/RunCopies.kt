/*
 * Copies of the memory of runs, kept for all engines of a deployment in one place. Engines are named by their address.
 */
package io.sequoiawheel.standin.platform

import java.util.concurrent.atomic.AtomicInteger

/** Thread-safe. */
class RunCopies {
    private class Copy(
        val requestId: String,
        val source: String,
        val holder: String,
        val isSourceStopped: Boolean,
    )

    private val nextHandle = AtomicInteger()
    private val copies = HashMap<String, Copy>()
    private val backups = HashSet<Pair<String, String>>()

    /** Copies the run of [requestId] from [source] to [holder]. Returns the handle. */
    @Synchronized
    fun create(
        requestId: String,
        source: String,
        holder: String,
        isSourceStopped: Boolean,
    ): String {
        val handle = "h${nextHandle.incrementAndGet()}"
        copies[handle] = Copy(requestId, source, holder, isSourceStopped)
        return handle
    }

    /** Keeps a backup of the run of [requestId] at [holder]. */
    @Synchronized
    fun backUp(
        requestId: String,
        holder: String,
    ) {
        backups += holder to requestId
    }

    @Synchronized
    fun releaseBackup(
        requestId: String,
        holder: String,
    ) {
        backups -= holder to requestId
    }

    @Synchronized
    fun release(handle: String) {
        copies -= handle
    }

    /**
     * Uses the copy that [reference] names for [requestId] at [engine]. Returns false if [engine] holds none. The
     * reference has the form `IP:PORT/HANDLE` with the source's address, or `IP:PORT/ID` with that of the backup.
     */
    @Synchronized
    fun take(
        reference: String,
        requestId: String,
        engine: String,
    ): Boolean {
        val address = reference.substringBefore('/')
        val name = reference.substringAfter('/')
        if (address == engine && name == requestId && backups.remove(engine to requestId)) return true
        val copy = copies[name] ?: return false
        val isHeld = copy.holder == engine || (copy.source == engine && copy.isSourceStopped)
        if (copy.requestId != requestId || copy.source != address || !isHeld) return false
        copies -= name
        return true
    }

    /** Forgets what [engine] held, since it has ended. */
    @Synchronized
    fun clear(engine: String) {
        copies.values.removeIf { it.holder == engine }
        backups.removeIf { it.first == engine }
    }
}
