package io.sequoiawheel.core.model

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ServiceDocumentTest {
    private val writers =
        """{"service":"writers","kind":"modelEngine","author":"asha","models":[{"name":"letters"}]}"""

    @Test
    fun `a minimal document is accepted and survives a round trip`() {
        val document = DocumentCodec.decode(writers).getOrNull()!!
        assertEquals(document, DocumentCodec.decode(DocumentCodec.encode(document)).getOrNull())
    }

    /** Guards against a misspelt limit that silently falls back to its default. */
    @Test
    fun `an unknown field is rejected`() {
        val faults = DocumentCodec.decode(writers.replace("\"author\"", "\"zoneOut\":[],\"author\"")).leftOrNull()!!
        assertTrue(faults.single().problem.contains("zoneOut"))
    }

    /** Guards against hedging a call that must run at most once. */
    @Test
    fun `hedging a call that is not idempotent is rejected with its path`() {
        val text =
            """{"service":"desk","kind":"plainService","author":"asha",
            "calls":[{"name":"record","idempotent":false,"hedgeAfterMillis":50}]}"""
        assertEquals(
            "$.calls[0].hedgeAfterMillis",
            DocumentCodec
                .decode(text)
                .leftOrNull()!!
                .single()
                .path,
        )
    }

    /** Guards against two codes with the same number, which would make logs ambiguous. */
    @Test
    fun `result codes have distinct numbers and distinct exit codes`() {
        assertEquals(
            ResultCode.entries.size,
            ResultCode.entries
                .map { it.number }
                .distinct()
                .size,
        )
        val failures = ResultCode.entries.filter { it.exitCode != 0 }
        assertEquals(failures.size, failures.map { it.exitCode }.distinct().size)
    }
}
