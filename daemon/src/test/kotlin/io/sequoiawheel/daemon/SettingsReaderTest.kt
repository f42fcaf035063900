package io.sequoiawheel.daemon

import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.daemon.settings.SettingsReader
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class SettingsReaderTest {
    private val validSettings =
        """
        {"instanceId":"entry-1","region":"r","zone":"z",
         "listen":{"host":"127.0.0.1","port":8080},"peer":{"host":"127.0.0.1","port":8081},
         "platform":{"objectApi":"http://127.0.0.1:1","instanceList":"http://127.0.0.1:2",
          "weightStore":"http://127.0.0.1:3"},
         "resumeKey":"AAECAwQFBgcICQoLDA0ODw=="}
        """.trimIndent()

    /** Guards against invalid, misspelt or missing settings that are accepted, or reported without their path. */
    @Test
    fun `each fault states its field and the allowed values`() {
        assertTrue(SettingsReader.read(validSettings).isRight())
        val faults =
            mapOf(
                validSettings.replace("\"zone\":\"z\",", "") to "$.zone: missing required field",
                validSettings.replace("\"port\":8080", "\"prot\":8080") to
                    "$.listen.prot: unknown field; allowed fields are host, port",
                validSettings.replace("8080", "\"8080\"") to "$.listen.port: must be a whole number",
                validSettings.replace("8080", "80800") to "$.listen.port: must be 0 to 65535",
                validSettings.replace("\"host\":\"127.0.0.1\"", "\"host\":\"local\"") to
                    "$.listen.host: must be a numeric IP address",
                validSettings.replace("AAECAwQF", "") to "$.resumeKey: must be base64 of at least 16 bytes",
                "[" to "$: must be a JSON object",
            )
        faults.forEach { (text, expected) ->
            val failure = SettingsReader.read(text).leftOrNull()
            assertEquals(ResultCode.INVALID_SETTINGS, failure?.code, text)
            assertTrue(failure?.detail.orEmpty().contains(expected), failure?.detail)
        }
    }
}
