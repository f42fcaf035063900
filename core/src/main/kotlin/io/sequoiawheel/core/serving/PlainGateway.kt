package io.sequoiawheel.core.serving

import arrow.core.Either
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.LoadReport
import io.sequoiawheel.core.model.RequestId

/** Access to plain services. */
interface PlainGateway {
    /**
     * Sends one call and returns its answer. Throws [DispatchException]; an answer that belongs to another request
     * id is reported as `UNKNOWN`, never returned.
     *
     * @param deadlineMillis time left for the call, in milliseconds
     */
    suspend fun call(
        replica: Instance,
        request: PlainRequest,
        deadlineMillis: Long,
    ): PlainAnswer

    /** Reads the load report of [replica]. */
    suspend fun load(replica: Instance): Either<Failure, LoadReport>
}

/** One call of a plain service; [body] is JSON text. */
data class PlainRequest(
    val requestId: RequestId,
    val call: String,
    val body: String,
)

/** The answer of a plain service; [status] is its HTTP status and [body] its JSON text. */
data class PlainAnswer(
    val requestId: RequestId,
    val status: Int,
    val body: String,
)
