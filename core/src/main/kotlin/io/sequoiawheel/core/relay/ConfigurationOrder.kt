package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock

/**
 * Decides which of the configurations read from the store is in force, and whether a read confirms that there is no
 * newer one. An older version never replaces a newer one. After the store was restored from an older snapshot, a
 * version that this instance never read may have been lost and may be about to be rewritten, so reads confirm nothing
 * until a settling time has passed. An instance that starts after the restore has not seen the era change and learns of
 * it, and of the newest version, from the answers of the other instances. Confined to one thread.
 *
 * @param inquiry when the other instances are asked; null if they never are
 */
class ConfigurationOrder(
    private val clock: Clock,
    private val inquiry: StartInquiry? = null,
) {
    private var era: Long? = null
    private var hasObserved = false
    private var eraSeenMillis = 0L

    /** The earliest time at which the current era is known to have replaced another one, or null. */
    private var eraSinceMillis: Long? = null
    private var revision = 0L
    private var observedVersion = 0L

    /** The era that other instances were last asked about. */
    private var askedEra: Long? = null

    /** The newest version that other instances reported in answers. It counts until the settling limit. */
    private var reportedVersion = Long.MIN_VALUE

    /** The version in force, or null before the first. */
    var version: Long? = null
        private set

    /** The newest version that is known to have been in force at any instance. */
    val newestVersion: Long
        get() = maxOf(version ?: Long.MIN_VALUE, if (isSettling) reportedVersion else Long.MIN_VALUE)

    /** Whether the version in force is older than one that another instance had in force before the restore. */
    val isOutdated: Boolean get() = isSettling && newestVersion != version

    /** Whether the era is known to have begun less than the settling limit ago. */
    private val isSettling: Boolean
        get() = eraSinceMillis?.let { clock.nowMillis() - it < SETTLE_LIMIT_MILLIS } ?: false

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
        if (hasObserved && era == this.era) return
        // A report that no longer counts, perhaps of a withdrawn version, must not count again after the next restore.
        if (!isSettling) reportedVersion = Long.MIN_VALUE
        eraSeenMillis = clock.nowMillis()
        if (hasObserved) {
            revision = 0
            eraSinceMillis = eraSeenMillis
        }
        if (era != null) inquiry?.recordRead()
        hasObserved = true
        this.era = era
    }

    /**
     * Whether the state of the store at [asOfMillis] confirms that no version newer than the one in force was accepted.
     */
    fun confirmsCurrent(asOfMillis: Long): Boolean {
        if (inquiry?.isOpen == true) return false
        val since = eraSinceMillis ?: return true
        val isRewritten = observedVersion >= newestVersion
        return asOfMillis - since >= if (isRewritten) SETTLE_MILLIS else SETTLE_LIMIT_MILLIS
    }

    /** Records that the list of instances was read from the store. */
    fun recordInstances(hasOthers: Boolean) {
        inquiry?.recordListed(hasOthers)
    }

    /** Returns the question to send to other instances now, or null if there is none. */
    fun question(): EraReport? {
        if (inquiry?.isAsking != true) return null
        askedEra = era
        return era?.let { EraReport(it) }
    }

    /** Processes a [report] of another instance. Returns the answer if it is a question, or null if there is none. */
    fun receive(report: EraReport): EraReport? {
        val reported = report.version ?: return answer(report.era)
        if (inquiry == null || report.era != era || askedEra != era) return null
        val age = report.ageMillis.coerceIn(0, MAXIMUM_AGE_MILLIS)
        // The process has seen the era itself since eraSeenMillis, so that no answer can put off the end of the wait.
        eraSinceMillis = minOf(eraSinceMillis ?: eraSeenMillis, clock.nowMillis() - age)
        reportedVersion = maxOf(reportedVersion, reported)
        if (age >= SETTLE_LIMIT_MILLIS) inquiry.close()
        return null
    }

    /**
     * Returns the answer to a question about [asked], or null if it would say nothing: this instance started so
     * recently that it does not know whether the era is new either.
     */
    private fun answer(asked: Long): EraReport? {
        val known = era
        if (version == null || known == null || asked < known) return null
        // The asking instance has read the store since its restore, and this one has not.
        if (asked > known) return EraReport(asked, newestVersion)
        val age = clock.nowMillis() - (eraSinceMillis ?: eraSeenMillis)
        if (eraSinceMillis == null && age < SETTLE_LIMIT_MILLIS) return null
        return EraReport(known, newestVersion, minOf(age, MAXIMUM_AGE_MILLIS))
    }

    private companion object {
        /** The operator and the replicas rewrite their objects within about two seconds after the store is back. */
        const val SETTLE_MILLIS = 2_000L

        /** If the operator has not rewritten the version in force by then, it does not have a later one either. */
        const val SETTLE_LIMIT_MILLIS = 10_000L

        /** Beyond the limit, the age of an era makes no difference. */
        const val MAXIMUM_AGE_MILLIS = 2 * SETTLE_LIMIT_MILLIS
    }
}
