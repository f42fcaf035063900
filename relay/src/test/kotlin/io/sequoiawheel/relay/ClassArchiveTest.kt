package io.sequoiawheel.relay

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.nio.file.Path
import java.util.concurrent.TimeUnit

class ClassArchiveTest {
    @Test
    fun `the training run for the class archive serves its requests and exits`() {
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val process =
            ProcessBuilder(java, "-cp", System.getProperty("java.class.path"), "io.sequoiawheel.relay.ClassArchiveKt")
                .redirectErrorStream(true)
                .start()
        val output = String(process.inputStream.readAllBytes())
        assertTrue(process.waitFor(LIMIT_SECONDS, TimeUnit.SECONDS))
        assertEquals(0, process.exitValue(), output)
        assertEquals(2, output.lines().count { "\"request ended\"" in it }, output)
    }

    private companion object {
        const val LIMIT_SECONDS = 30L
    }
}
