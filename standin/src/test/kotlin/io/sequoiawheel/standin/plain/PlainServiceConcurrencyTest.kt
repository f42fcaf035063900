package io.sequoiawheel.standin.plain

import io.sequoiawheel.core.model.RequestId
import org.apache.commons.rng.simple.RandomSource
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.junit.jupiter.api.Test

/** Guards against runs that are not recorded, and against more concurrent calls than the server allows. */
class PlainServiceConcurrencyTest {
    private val settings = PlainServiceSettings(mapOf("record" to PlainServiceSettings.Call()), coldConcurrent = 2)
    private val model =
        PlainServiceModel(settings, RandomSource.XO_RO_SHI_RO_128_PP.create(1L)).apply { restart(0) }

    @Operation
    fun begin(): Boolean = model.begin(RequestId("r"), "record", "{}", 0) is PlainReply.Started

    @Operation
    fun runs(): Int = model.runs.size

    @Operation
    fun overloads(): Int = model.coldOverloads

    @Test
    fun `operations are linearizable`() =
        ModelCheckingOptions()
            .iterations(3)
            .threads(3)
            .actorsPerThread(2)
            .invocationsPerIteration(100)
            .check(this::class)
}
