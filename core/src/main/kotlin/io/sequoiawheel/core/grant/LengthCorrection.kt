package io.sequoiawheel.core.grant

/** Predicts again for a generation that reached its prediction without an end. */
fun interface LengthCorrection {
    /** Returns the new predicted output length, larger than the produced one. */
    fun predict(reservation: Reservation): Long

    companion object {
        /** Expects half as much again; used where no estimator is at hand. */
        val HALF_AGAIN =
            LengthCorrection { it.producedTokens + (it.producedTokens / 2).coerceAtLeast(MINIMUM_EXTENSION_TOKENS) }

        private const val MINIMUM_EXTENSION_TOKENS = 16L
    }
}
