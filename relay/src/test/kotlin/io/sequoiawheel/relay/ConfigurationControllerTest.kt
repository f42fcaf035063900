package io.sequoiawheel.relay

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ConfigurationControllerTest {
    private val fixture = RelayFixture()

    @AfterEach
    fun close() = fixture.close()

    private fun status(key: String = "key-1") =
        fixture.send(fixture.request("/safe/a", key = key)).substringBefore("\r\n").split(' ')[1]

    private fun start() {
        fixture.replica("r-1") { request, answer -> answer.sendComplete(request, "world") }
        fixture.configure(version = 5)
        fixture.start()
        assertEquals("200", status())
    }

    @Test
    fun `a revoked key is refused even if the store dropped the history of the change`() {
        start()
        fixture.store.expireHistory()
        fixture.configure(version = 6, keys = """["key-2"]""")
        RelayFixture.awaitTrue("the key is refused") { status() == "401" }
        assertEquals("200", status("key-2"))
    }

    @Test
    fun `an older version never replaces a newer one`() {
        start()
        fixture.configure(version = 4, keys = """["key-2"]""")
        Thread.sleep(200)
        assertEquals("200", status())
        assertEquals("401", status("key-2"))
    }

    @Test
    fun `an unreadable configuration does not replace the one in force`() {
        start()
        fixture.store.put("config", "main", kotlinx.serialization.json.JsonPrimitive("x"))
        Thread.sleep(200)
        assertEquals("200", status())
    }

    @Test
    fun `requests with a key are refused before dispatch once the store was unavailable for too long`() {
        start()
        fixture.store.isDown = true
        RelayFixture.awaitTrue("keyed requests are refused") { status() == "503" }
        assertTrue(!fixture.daemon.isReady)
        fixture.store.isDown = false
        RelayFixture.awaitTrue("keyed requests are served again") { status() == "200" }
    }

    @Test
    fun `an unreadable replica entry does not affect the other replicas`() {
        start()
        fixture.store.put("servers", "odd", kotlinx.serialization.json.JsonPrimitive(7))
        Thread.sleep(200)
        assertEquals("200", status())
    }
}
