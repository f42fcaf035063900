package io.sequoiawheel.core.claim

/** A write of a claim object that is retried until the object API confirms it. */
internal sealed interface PendingClaimWrite {
    val ticket: ClaimTicket

    /** Returns the record that the object must hold after the write. */
    fun targetRecord(): ClaimRecord

    class Release(
        override val ticket: ClaimTicket,
    ) : PendingClaimWrite {
        override fun targetRecord() = ticket.record.copy(state = ClaimRecord.State.RELEASED)
    }

    class Complete(
        override val ticket: ClaimTicket,
        private val answer: ClaimAnswer,
    ) : PendingClaimWrite {
        override fun targetRecord() = ticket.record.copy(state = ClaimRecord.State.COMPLETED, answer = answer)
    }
}
