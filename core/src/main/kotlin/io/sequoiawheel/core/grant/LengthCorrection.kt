package io.sequoiawheel.core.grant

/** Extends the predicted length of a generation that reached its prediction without ending. */
fun interface LengthCorrection {
    /** Returns the new predicted output length, larger than the produced one. */
    fun predict(reservation: Reservation): Long

    companion object {
        /** Adds half of the produced length; for use without a length estimator. */
        val HALF_AGAIN =
            LengthCorrection { it.producedTokens + (it.producedTokens / 2).coerceAtLeast(MINIMUM_EXTENSION_TOKENS) }

        private const val MINIMUM_EXTENSION_TOKENS = 16L
    }
}
