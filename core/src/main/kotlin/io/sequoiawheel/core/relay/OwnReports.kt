package io.sequoiawheel.core.relay

/** The last reports of this instance, to tell its part of a sum that includes one of them. Confined to one thread. */
internal class OwnReports {
    private val reports = ArrayDeque<PeerReport>()

    /** The work that was reported last. */
    val newest: WorkByReplica get() = reports.lastOrNull()?.work.orEmpty()

    fun add(report: PeerReport) {
        reports.addLast(report)
        if (reports.size > KEPT) reports.removeFirst()
    }

    /** Returns the work that the report with [sequence] told, or null if it is not kept. */
    operator fun get(sequence: Long): WorkByReplica? = reports.find { it.sequence == sequence }?.work

    private companion object {
        /** Three seconds at ten reports a second, the life of a sum. */
        const val KEPT = 32
    }
}
