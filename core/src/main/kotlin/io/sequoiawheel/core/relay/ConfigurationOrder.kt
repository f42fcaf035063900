package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock

/**
 * Decides which of the configurations read from the store is in force, and whether a read confirms that there is no
 * newer one. An older version never replaces a newer one. After the store was restored from an older snapshot, a
 * version that this instance never read may have been lost and may be about to be rewritten, so reads confirm nothing
 * until a settling time has passed. Confined to one thread.
 */
class ConfigurationOrder(
    private val clock: Clock,
) {
    private var era: Long? = null
    private var hasObserved = false
    private var eraSinceMillis: Long? = null
    private var revision = 0L
    private var observedVersion = 0L

    /** The version in force, or null before the first. */
    var version: Long? = null
        private set

    /**
     * Processes the version read from the store in [era] at [revision]. Returns true if it replaces the version in
     * force, false if that one remains in force.
     */
    fun observe(
        era: Long?,
        revision: Long,
        version: Long,
    ): Boolean {
        enterEra(era)
        if (revision < this.revision) return false
        this.revision = revision
        observedVersion = version
        if (version <= (this.version ?: Long.MIN_VALUE)) return false
        this.version = version
        return true
    }

    /** Records the [era] of a response of the store; revisions restart when the era changes. */
    fun enterEra(era: Long?) {
        if (hasObserved && era != this.era) {
            revision = 0
            eraSinceMillis = clock.nowMillis()
        }
        hasObserved = true
        this.era = era
    }

    /**
     * Whether the state of the store at [asOfMillis] confirms that no version newer than the one in force was accepted.
     */
    fun confirmsCurrent(asOfMillis: Long): Boolean {
        val since = eraSinceMillis ?: return true
        val isRewritten = observedVersion >= (version ?: Long.MIN_VALUE)
        return asOfMillis - since >= if (isRewritten) SETTLE_MILLIS else SETTLE_LIMIT_MILLIS
    }

    private companion object {
        /** The operator and the replicas rewrite their objects within about two seconds after the store is back. */
        const val SETTLE_MILLIS = 2_000L

        /** If the operator has not rewritten the version in force by then, it does not have a later one either. */
        const val SETTLE_LIMIT_MILLIS = 10_000L
    }
}
