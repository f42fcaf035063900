package io.sequoiawheel.core.stream

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.WorkspaceName
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class ResumeHandleCodecTest {
    private val codec = ResumeHandleCodec(ByteArray(32) { 7 })
    private val workspace = WorkspaceName("office")
    private val handle =
        ResumeHandle(ServiceName("writers"), InstanceId("engine-1"), RequestId("g"), workspace, RequestId("r"))

    /** Guards against handles that another entry instance with the same key cannot read. */
    @Test
    fun `a handle is read by every holder of the key`() {
        val other = ResumeHandleCodec(ByteArray(32) { 7 })
        assertEquals(handle, other.decode(codec.encode(handle), workspace).getOrNull())
    }

    /** Guards against a changed byte, a foreign key or a foreign workspace being accepted. */
    @Test
    fun `forged and foreign handles are refused`() {
        val text = codec.encode(handle)
        val changed = text.dropLast(2) + if (text.endsWith("A")) "BB" else "AA"
        val foreignKey = ResumeHandleCodec(ByteArray(32) { 8 }).encode(handle)
        val attempts = listOf(changed, foreignKey, "", "%%%", text.take(20))
        attempts.forEach { attempt ->
            val code = codec.decode(attempt, workspace).leftOrNull()?.code
            assertEquals(ResultCode.INVALID_RESUME_HANDLE, code, attempt)
        }
        val foreign = codec.decode(text, WorkspaceName("other")).leftOrNull()
        assertEquals(ResultCode.INVALID_RESUME_HANDLE, foreign?.code)
    }
}
