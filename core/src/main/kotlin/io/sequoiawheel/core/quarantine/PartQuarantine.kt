/*
 * Quarantine of prompt parts that end the replicas that run them. A part is quarantined once enough replicas have ended
 * under requests with it and no run with it went on since; fewer crashes are enough for a part of which no run is known
 * that went on. Requests with the part are then refused before they are sent.
 *
 * A verdict ends when a run with the part goes on, or when no request with the part has arrived for a long time. A
 * wrong or outdated verdict is found by probes: single requests that are let through, few in number, each by one
 * instance of the fleet. If the instance that may send the next probe sees no such request, another one takes over.
 */
package io.sequoiawheel.core.quarantine

import io.sequoiawheel.core.model.Clock

/**
 * The evidence and the verdicts of one instance. Confined to one thread.
 *
 * @param self name of the instance, the same in all load messages
 */
class PartQuarantine(
    private val self: String,
    private val clock: Clock,
    private val listener: QuarantineListener = QuarantineListener.NONE,
) {
    private val evidence = CrashEvidence(clock)
    private val verdicts = LinkedHashMap<PromptPart, Verdict>()

    /** Increases whenever the other instances should learn something soon. */
    var version = 0
        private set

    /** The parts under quarantine. */
    val quarantined: Set<PromptPart>
        get() = verdicts.values.filter { it.isInForce }.mapTo(HashSet()) { it.part }

    /** Whether there is anything that the other instances have to learn. */
    val isActive: Boolean get() = verdicts.isNotEmpty() || evidence.crashesWithin(REPORTED_MILLIS).isNotEmpty()

    /**
     * Records that a request was lost with its replica.
     *
     * @param parts the shared parts of its prompt
     * @param begunMillis when its response began, or null if it had not
     */
    fun recordLoss(
        incarnation: Incarnation,
        parts: Set<PromptPart>,
        begunMillis: Long?,
    ) {
        val now = clock.nowMillis()
        if (parts.isEmpty() || begunMillis != null && now - begunMillis >= SURVIVAL_MILLIS) return
        val writing = if (begunMillis == null) emptySet() else parts
        val waiting = if (begunMillis == null) parts else emptySet()
        if (addCrash(incarnation, now, writing, waiting, isRefuted = false)) decide()
    }

    /** Whether any crash is known, so that signs of life of replicas say something. */
    val hasEvidence: Boolean get() = !evidence.isEmpty()

    /** Records that [incarnation] was heard of: it has not ended with the connections that were lost before. */
    fun recordLife(incarnation: Incarnation) {
        if (!evidence.addLife(incarnation)) return
        version++
        listener.onCrash(incarnation, emptySet(), emptySet(), isRefuted = true)
    }

    /** Records that a run with [parts] is sound: its response began at [begunMillis], and completed or went on. */
    fun recordSurvival(
        parts: Set<PromptPart>,
        begunMillis: Long,
    ) = parts.forEach { addSurvival(it, begunMillis) }

    /** Returns the part of [parts] because of which a request must not be sent now, or null. Changes no verdict. */
    fun blocking(parts: Set<PromptPart>): PromptPart? {
        if (verdicts.isEmpty()) return null
        expire()
        val held = held(parts)
        return held.firstOrNull()?.part.takeUnless { mayProbe(held) }
    }

    /**
     * Consumes the permission to send a request with [parts], immediately before it is sent. Returns false if it must
     * not be sent.
     */
    fun tryAdmit(parts: Set<PromptPart>): Boolean {
        if (verdicts.isEmpty()) return true
        expire()
        val held = held(parts)
        if (held.isEmpty()) return true
        if (!mayProbe(held)) return false
        for (verdict in held) {
            val probes = verdict.probes + 1
            verdicts[verdict.part] =
                verdict.copy(
                    revision = verdict.revision + 1,
                    probes = probes,
                    probeDueMillis = clock.nowMillis() + PROBE_PAUSE_MILLIS,
                )
            listener.onProbe(verdict.part)
        }
        version++
        return true
    }

    /** Records that a request with [parts] was refused, and takes over the next probe if its holder sends none. */
    fun recordRefusal(parts: Set<PromptPart>) {
        val now = clock.nowMillis()
        for (verdict in held(parts)) {
            val isForsaken =
                verdict.probes < MAXIMUM_PROBES &&
                    now - maxOf(verdict.probeDueMillis, verdict.heldSinceMillis) >= HOLD_MILLIS
            verdicts[verdict.part] =
                if (isForsaken) {
                    version++
                    verdict.copy(
                        revision = verdict.revision + 1,
                        holder = self,
                        heldSinceMillis = now,
                        seenMillis = now,
                    )
                } else {
                    verdict.copy(seenMillis = now)
                }
        }
    }

    /**
     * Whether a request with [parts] that was lost with its replica should not be sent once more: one more crash may
     * lead to a verdict on one of its parts.
     */
    fun isSuspected(parts: Set<PromptPart>): Boolean {
        if (!hasEvidence || parts.isEmpty()) return false
        val accusations = evidence.accusations(quarantined)
        return parts.any { (accusations[it]?.size ?: 0) >= SUSPICION_CRASHES }
    }

    /** Returns what the other instances should learn. */
    fun report(): PartReport {
        val now = clock.nowMillis()
        expire()
        val recent = evidence.crashesWithin(REPORTED_MILLIS).takeLast(PartReport.MAXIMUM_CRASHES)
        if (verdicts.isEmpty() && recent.isEmpty()) return PartReport.NONE
        val parts = (recent.flatMap { it.writing + it.waiting } + quarantined).distinct()
        val survivals = parts.mapNotNull { part -> evidence.survivalOf(part)?.let { part to now - it } }
        val newestVerdicts = verdicts.values.sortedByDescending { it.seenMillis }.take(PartReport.MAXIMUM_VERDICTS)
        return PartReport(
            recent.map { it.report(now) },
            survivals.filter { it.second in REPORTED_SURVIVAL_MILLIS }.take(PartReport.MAXIMUM_SURVIVALS).toMap(),
            newestVerdicts.map { it.report(now) },
        )
    }

    /** Adds what another instance reported. */
    fun merge(received: PartReport) {
        if (received == PartReport.NONE) return
        val now = clock.nowMillis()
        val report = received.bounded()
        // Each crash must be added, so the list may not end at the first new one.
        val hasNewCrash = report.crashes.map { add(it, now) }.any { it }
        report.verdicts.forEach { mergeVerdict(Verdict.received(it, now), now) }
        report.survivals.forEach { (part, ageMillis) ->
            val known = evidence.survivalOf(part)
            // Messages take time, so a survival that comes back from others looks slightly younger than it is.
            if (known == null || now - ageMillis - known > ECHO_MILLIS) addSurvival(part, now - ageMillis)
        }
        if (hasNewCrash) decide()
    }

    private fun add(
        crash: ReportedCrash,
        now: Long,
    ): Boolean {
        val incarnation = Incarnation(crash.replica, crash.startedAtMillis)
        return addCrash(incarnation, now - crash.ageMillis, crash.writing, crash.waiting, crash.isRefuted)
    }

    private fun addCrash(
        incarnation: Incarnation,
        atMillis: Long,
        writing: Collection<PromptPart>,
        waiting: Collection<PromptPart>,
        isRefuted: Boolean,
    ): Boolean {
        if (!evidence.addCrash(incarnation, atMillis, writing, waiting, isRefuted)) return false
        version++
        listener.onCrash(incarnation, writing, waiting, isRefuted)
        return true
    }

    private fun addSurvival(
        part: PromptPart,
        begunMillis: Long,
    ) {
        evidence.addSurvival(part, begunMillis)
        val verdict = verdicts[part]?.takeIf { it.isInForce } ?: return
        if (begunMillis < verdict.accusedAtMillis) return
        verdicts[part] =
            verdict.copy(revision = verdict.revision + 1, isInForce = false, seenMillis = clock.nowMillis())
        version++
        listener.onReleased(part, "a run went on")
    }

    private fun mergeVerdict(
        received: Verdict,
        now: Long,
    ) {
        if (now - received.seenMillis >= QUIET_MILLIS) return
        val known = verdicts[received.part]
        val merged = known?.merge(received) ?: received
        verdicts[received.part] = merged
        boundVerdicts()
        if (known != null && known.revision == merged.revision) return
        version++
        val wasInForce = known?.isInForce ?: false
        if (merged.isInForce && !wasInForce) listener.onQuarantined(merged.part, accusations = 0)
        if (!merged.isInForce && wasInForce) listener.onReleased(merged.part, "another instance saw a run go on")
    }

    /** Quarantines the part that most crashes speak against, as long as there is one with enough of them. */
    private fun decide() {
        // A verdict may displace another whose crashes are then unexplained again.
        repeat(MAXIMUM_DECISIONS) {
            val accused =
                evidence.accusations(quarantined).filter { (part, crashes) ->
                    crashes.size >= crashesFor(part)
                }
            val most = accused.values.maxOfOrNull { it.size } ?: return
            accused.filterValues { it.size == most }.forEach { (part, crashes) -> quarantine(part, crashes) }
        }
    }

    private fun crashesFor(part: PromptPart): Int {
        val survival = evidence.survivalOf(part)
        val isKnownSound = survival != null && clock.nowMillis() - survival <= SOUND_MILLIS
        return if (isKnownSound) CRASHES_AFTER_SURVIVAL else CRASHES
    }

    private fun quarantine(
        part: PromptPart,
        accusations: List<Long>,
    ) {
        val now = clock.nowMillis()
        verdicts[part] =
            Verdict(
                part,
                revision = (verdicts[part]?.revision ?: 0) + 1,
                isInForce = true,
                accusedAtMillis = accusations.first(),
                probeDueMillis = now + FIRST_PROBE_MILLIS,
                holder = self,
                heldSinceMillis = now,
                probes = verdicts[part]?.probes ?: 0,
                seenMillis = now,
            )
        boundVerdicts()
        version++
        listener.onQuarantined(part, accusations.size)
    }

    private fun held(parts: Set<PromptPart>): List<Verdict> = parts.mapNotNull { verdicts[it] }.filter { it.isInForce }

    /**
     * Whether a request with the parts of [held] may be sent as a probe. One that has several of them says little if
     * its replica ends, so requests with a single one are preferred.
     */
    private fun mayProbe(held: List<Verdict>): Boolean {
        val now = clock.nowMillis()
        val extraMillis = if (held.size > 1) SHARED_PROBE_MILLIS else 0
        return held.all {
            it.holder == self &&
                it.probes < MAXIMUM_PROBES &&
                now >= it.probeDueMillis + extraMillis &&
                now - it.heldSinceMillis >= AGREEMENT_MILLIS
        }
    }

    private fun boundVerdicts() {
        if (verdicts.size <= MAXIMUM_VERDICTS) return
        verdicts.values.minByOrNull { it.seenMillis }?.let { verdicts.remove(it.part) }
    }

    private fun expire() {
        val now = clock.nowMillis()
        val ended = verdicts.values.filter { now - it.seenMillis >= QUIET_MILLIS }
        for (verdict in ended) {
            verdicts.remove(verdict.part)
            if (verdict.isInForce) listener.onReleased(verdict.part, "no request with it arrived")
        }
    }

    companion object {
        /** Time that a response must go on before it speaks for the parts of its prompt. */
        const val SURVIVAL_MILLIS = 1_000L

        /** Time that a caller should wait before it sends a request with a quarantined part again. */
        const val RETRY_AFTER_MILLIS = 60_000L

        /** Crashes that lead to a verdict on a part of which no run is known that went on. */
        private const val CRASHES = 3

        /** Crashes without a run that went on in between, for a part with runs that went on before. */
        private const val CRASHES_AFTER_SURVIVAL = 5

        /** Crashes after which a request that was lost is not sent again: the next one may decide. */
        private const val SUSPICION_CRASHES = 2

        /** How long a run that went on raises the number of crashes needed. */
        private const val SOUND_MILLIS = 60_000L

        /** Time until the first probe, in which runs that were in progress at the verdict have ended. */
        private const val FIRST_PROBE_MILLIS = 5_000L
        private const val PROBE_PAUSE_MILLIS = 60_000L

        /** Each probe may end a replica with everything that runs there. */
        private const val MAXIMUM_PROBES = 2
        private const val SHARED_PROBE_MILLIS = 30_000L

        /** Time for load messages to settle which instance may send the next probe. */
        private const val AGREEMENT_MILLIS = 1_500L

        /** Time after which another instance may send a probe that its holder has not sent. */
        private const val HOLD_MILLIS = 10_000L

        /** Callers that retry with a pause come back within this time. */
        private const val QUIET_MILLIS = 600_000L

        /** Longer than an instance can miss the messages of the others and still be one that serves. */
        private const val REPORTED_MILLIS = 10_000L
        private val REPORTED_SURVIVAL_MILLIS = 0L..5_000L
        private const val ECHO_MILLIS = 500L
        private const val MAXIMUM_VERDICTS = 64
        private const val MAXIMUM_DECISIONS = 8
    }
}
