/*
 * The interface to model engines. Implementations use HTTP or simulate engines in virtual time.
 */
package io.sequoiawheel.core.serving

import arrow.core.Either
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.LoadReport
import io.sequoiawheel.core.model.RequestId
import kotlinx.coroutines.flow.Flow

/** Access to model engines. Addresses always come from a listed [Instance], never from a caller. */
interface EngineGateway {
    /**
     * Starts a generation and streams its events from offset 0. Collecting fails with [DispatchException].
     * Cancelling the collection closes the connection and leaves the generation running at the engine.
     */
    fun start(
        replica: Instance,
        request: EngineRequest,
    ): Flow<EngineEvent>

    /** Streams the events of a running or finished generation from [offset] on. */
    fun resume(
        replica: Instance,
        generation: RequestId,
        offset: Int,
    ): Flow<EngineEvent>

    /** Cancels a generation; cancelling an unknown one succeeds. */
    suspend fun cancel(
        replica: Instance,
        generation: RequestId,
    ): Either<Failure, Unit>

    /**
     * Cancels a generation unless it has a reader. Used for a generation whose caller disconnected from this instance
     * and may have resumed it at another entry instance. The default implementation always cancels.
     */
    suspend fun cancelUnattended(
        replica: Instance,
        generation: RequestId,
    ): Either<Failure, Unit> = cancel(replica, generation)

    /** Reads the load report of [replica]. */
    suspend fun load(replica: Instance): Either<Failure, LoadReport>
}

/**
 * A request to an engine to start a generation. The request id is also the id of the generation.
 *
 * @property priority higher values are served first
 */
data class EngineRequest(
    val generation: RequestId,
    val model: String,
    val adapter: String?,
    val prompt: String,
    val maximumTokens: Int,
    val priority: Int,
)

/** An event in the stream of an engine. */
sealed interface EngineEvent {
    /** The generation that the event belongs to. */
    val generation: RequestId

    /** The token at [offset], counted from 0. */
    data class Token(
        override val generation: RequestId,
        val offset: Int,
        val text: String,
    ) : EngineEvent

    /** The generation is complete with [tokens] tokens in total. */
    data class Done(
        override val generation: RequestId,
        val tokens: Int,
    ) : EngineEvent
}
