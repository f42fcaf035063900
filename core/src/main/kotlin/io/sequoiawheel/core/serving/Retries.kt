package io.sequoiawheel.core.serving

import io.sequoiawheel.core.model.ServiceDocument

/** The budget for retries and hedged attempts. Implementations are thread-safe. */
interface Retries {
    /** Records a first attempt, which adds a fraction of a retry to the budget. */
    fun onFirstAttempt(document: ServiceDocument)

    /** Takes one retry or hedge from the budget of the service; returns false if the budget is exhausted. */
    fun tryAcquire(document: ServiceDocument): Boolean

    /** Returns the jittered delay before attempt number [attempt], counted from 2, in milliseconds. */
    fun backoffMillis(attempt: Int): Long
}
