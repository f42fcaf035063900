package io.sequoiawheel.core.serving

import io.sequoiawheel.core.model.ServiceDocument

/** The budget of repeated attempts. Implementations are thread-safe. */
interface Retries {
    /** Records a first attempt, which earns a share of a retry. */
    fun onFirstAttempt(document: ServiceDocument)

    /** Takes one retry or hedge from the budget of the service; false if there is none left. */
    fun tryAcquire(document: ServiceDocument): Boolean

    /** Returns the jittered wait before attempt number [attempt], counted from 2, in milliseconds. */
    fun backoffMillis(attempt: Int): Long
}
