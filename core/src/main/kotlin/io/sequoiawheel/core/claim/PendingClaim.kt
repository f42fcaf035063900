package io.sequoiawheel.core.claim

/** A change of a claim object that must happen sooner or later. */
internal sealed interface PendingClaim {
    val ticket: ClaimTicket

    /** Returns the record that the object shall hold. */
    fun target(): ClaimRecord

    class Release(
        override val ticket: ClaimTicket,
    ) : PendingClaim {
        override fun target() = ticket.record.copy(state = ClaimRecord.State.RELEASED)
    }

    class Complete(
        override val ticket: ClaimTicket,
        private val answer: ClaimAnswer,
    ) : PendingClaim {
        override fun target() = ticket.record.copy(state = ClaimRecord.State.COMPLETED, answer = answer)
    }
}
