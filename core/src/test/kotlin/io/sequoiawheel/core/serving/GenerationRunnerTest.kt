package io.sequoiawheel.core.serving

import arrow.core.Either
import arrow.core.right
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.LoadReport
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.ServiceDocument
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.WorkState
import io.sequoiawheel.core.model.WorkspaceName
import io.sequoiawheel.core.model.ZoneName
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class GenerationRunnerTest {
    private val document = ServiceDocument(ServiceName("writers"), ServiceDocument.Kind.MODEL_ENGINE, "test")
    private val replicas = listOf("a", "b").map(::replica)

    private fun replica(name: String) =
        Instance(InstanceId(name), Instance.Role.BACKEND, ZoneName("z"), "r", "127.0.0.1:1", document.service)

    /**
     * Guards against ending or restarting a stream whose connection stalled while the engine still has the generation.
     */
    @Test
    fun `a silent connection is resumed at the same engine`() =
        runTest {
            val engine =
                ScriptedEngine { connection, generation, offset ->
                    repeat(if (connection == 0) 3 else 4) { emit(EngineEvent.Token(generation, offset + it, "x")) }
                    if (connection == 0) awaitCancellation()
                    emit(EngineEvent.Done(generation, 7))
                }
            val sink = RecordingSink()
            val outcome = runner(engine).run(demand(), sink)
            assertEquals(ResultCode.OK, outcome.code)
            assertEquals((0..6).toList(), sink.offsets)
            assertEquals(listOf("a" to 0, "a" to 3), engine.connections)
        }

    /** Guards against appending a second generation after tokens of a first one were delivered (P1). */
    @Test
    fun `a generation lost after its first token is not restarted`() =
        runTest {
            val engine =
                ScriptedEngine { connection, generation, offset ->
                    if (connection > 0) throw DispatchException(DispatchException.Outcome.GONE, "gone")
                    emit(EngineEvent.Token(generation, offset, "x"))
                }
            val sink = RecordingSink()
            val outcome = runner(engine).run(demand(), sink)
            assertEquals(ResultCode.STREAM_INTERRUPTED, outcome.code)
            assertEquals(1, outcome.tokens)
            assertTrue(engine.connections.all { it.first == "a" })
        }

    /** Guards against failing a generation, or reporting it as `not run`, while another replica could serve it. */
    @Test
    fun `an undelivered generation moves to another replica`() =
        runTest {
            val engine =
                ScriptedEngine { connection, generation, _ ->
                    if (connection == 0) throw DispatchException(DispatchException.Outcome.NOT_RUN, "refused")
                    emit(EngineEvent.Token(generation, 0, "x"))
                    emit(EngineEvent.Done(generation, 1))
                }
            val outcome = runner(engine).run(demand(), RecordingSink())
            assertEquals(ResultCode.OK, outcome.code)
            assertEquals(listOf("a" to 0, "b" to 0), engine.connections)
        }

    /** Guards against a generation that occupies engine memory after its deadline. */
    @Test
    fun `the deadline cancels the generation`() =
        runTest {
            val engine =
                ScriptedEngine { _, generation, offset ->
                    emit(EngineEvent.Token(generation, offset, "x"))
                    awaitCancellation()
                }
            val outcome = runner(engine).run(demand(), RecordingSink())
            delay(1)
            assertEquals(ResultCode.DEADLINE_AFTER_DISPATCH, outcome.code)
            assertEquals(1, engine.cancelled)
        }

    /** Guards against answering `not run` for a generation that ran because the engine refused the resume (P5). */
    @Test
    fun `a refused resume is never reported as a generation that did not run`() =
        runTest {
            val engine =
                ScriptedEngine {
                    _,
                    _,
                    _,
                    ->
                    throw DispatchException(DispatchException.Outcome.NOT_RUN, "down")
                }
            val outcome = runner(engine).resume(replicas[0], RequestId("r"), 3, document, RecordingSink())
            assertEquals(ResultCode.RESUME_UNAVAILABLE, outcome.code)
            assertTrue(outcome.code.work != WorkState.NOT_RUN)
        }

    private fun TestScope.runner(engine: ScriptedEngine): GenerationRunner {
        val placement = FirstPlacement()
        val clock = Clock { currentTime }
        return GenerationRunner(engine, placement, FreeRetries, clock, backgroundScope) { it }
    }

    private fun TestScope.demand() =
        Demand(RequestId("r"), WorkspaceName("w"), document, "k", currentTime + 60_000, maximumTokens = 7)

    private inner class FirstPlacement : Placement {
        override suspend fun place(
            demand: Demand,
            avoided: Set<InstanceId>,
        ): Either<Failure, PlacedRequest> = FixedPlaced(replicas.first { it.id !in avoided }).right()
    }

    private class FixedPlaced(
        override val replica: Instance,
    ) : PlacedRequest {
        override val queueMillis = 0L

        override fun onFirstToken(elapsedMillis: Long) = Unit

        override fun finish(
            verdict: PlacedRequest.Verdict,
            tokens: Int,
        ) = Unit
    }

    private object FreeRetries : Retries {
        override fun onFirstAttempt(document: ServiceDocument) = Unit

        override fun tryAcquire(document: ServiceDocument) = true

        override fun backoffMillis(attempt: Int) = 10L
    }

    private class RecordingSink : GenerationSink {
        val offsets = mutableListOf<Int>()
        override val delivered get() = offsets.isNotEmpty()

        override suspend fun onAccepted(
            replica: Instance,
            generation: RequestId,
        ) = Unit

        override suspend fun onToken(
            offset: Int,
            text: String,
        ) {
            offsets += offset
        }

        override fun onRestart() = Unit
    }

    private class ScriptedEngine(
        private val script:
            suspend kotlinx.coroutines.flow.FlowCollector<EngineEvent>.(Int, RequestId, Int) -> Unit,
    ) : EngineGateway {
        val connections = mutableListOf<Pair<String, Int>>()
        var cancelled = 0

        override fun start(
            replica: Instance,
            request: EngineRequest,
        ) = connect(replica, request.generation, 0)

        override fun resume(
            replica: Instance,
            generation: RequestId,
            offset: Int,
        ) = connect(replica, generation, offset)

        private fun connect(
            replica: Instance,
            generation: RequestId,
            offset: Int,
        ): Flow<EngineEvent> =
            flow {
                connections += replica.id.value to offset
                script(connections.size - 1, generation, offset)
            }

        override suspend fun cancel(
            replica: Instance,
            generation: RequestId,
        ): Either<Failure, Unit> {
            cancelled++
            return Unit.right()
        }

        override suspend fun load(replica: Instance): Either<Failure, LoadReport> = LoadReport("s").right()
    }
}
