package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock

/**
 * Decides which of the configurations that the store shows is in force, and whether its answers prove that there is no
 * newer one. An older version never replaces a newer one. After the store came back from an older copy, a version that
 * this instance has not seen may have been lost and be about to be written again, so that nothing is proven at first.
 * Confined to one thread.
 */
class ConfigurationOrder(
    private val clock: Clock,
) {
    private var era: Long? = null
    private var hasShown = false
    private var eraSinceMillis: Long? = null
    private var revision = 0L
    private var shownVersion = 0L

    /** The version in force, or null before the first. */
    var version: Long? = null
        private set

    /**
     * Takes the version that the store shows in [era] at [revision]. Returns true if it comes into force, false if the
     * one in force stays.
     */
    fun shown(
        era: Long?,
        revision: Long,
        version: Long,
    ): Boolean {
        enter(era)
        if (revision < this.revision) return false
        this.revision = revision
        shownVersion = version
        if (version <= (this.version ?: Long.MIN_VALUE)) return false
        this.version = version
        return true
    }

    /** Records that the store answers in [era]; revisions begin anew when it is another one than before. */
    fun enter(era: Long?) {
        if (hasShown && era != this.era) {
            revision = 0
            eraSinceMillis = clock.nowMillis()
        }
        hasShown = true
        this.era = era
    }

    /** Whether the store's state at [asOfMillis] shows that no newer version than the one in force was accepted. */
    fun isProof(asOfMillis: Long): Boolean {
        val since = eraSinceMillis ?: return true
        val isRewritten = shownVersion >= (version ?: Long.MIN_VALUE)
        return asOfMillis - since >= if (isRewritten) SETTLE_MILLIS else SETTLE_LIMIT_MILLIS
    }

    private companion object {
        /** Operator and replicas write again within about two seconds of the store's return. */
        const val SETTLE_MILLIS = 2_000L

        /** An operator that has not written the version in force by then does not know of a later one either. */
        const val SETTLE_LIMIT_MILLIS = 10_000L
    }
}
