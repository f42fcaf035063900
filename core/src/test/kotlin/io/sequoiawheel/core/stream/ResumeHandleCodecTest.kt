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

    /** Guards against a handle that another entry instance with the same key cannot decode. */
    @Test
    fun `every instance with the same key decodes a handle`() {
        val other = ResumeHandleCodec(ByteArray(32) { 7 })
        assertEquals(handle, other.decode(codec.encode(handle), workspace).getOrNull())
    }

    /** Guards against accepting a modified handle, one signed with another key, or one of another workspace. */
    @Test
    fun `forged handles and handles of another workspace are rejected`() {
        val text = codec.encode(handle)
        val modified = text.dropLast(2) + if (text.endsWith("A")) "BB" else "AA"
        val signedWithOtherKey = ResumeHandleCodec(ByteArray(32) { 8 }).encode(handle)
        val invalidHandles = listOf(modified, signedWithOtherKey, "", "%%%", text.take(20))
        invalidHandles.forEach { invalidHandle ->
            val code = codec.decode(invalidHandle, workspace).leftOrNull()?.code
            assertEquals(ResultCode.INVALID_RESUME_HANDLE, code, invalidHandle)
        }
        val otherWorkspace = codec.decode(text, WorkspaceName("other")).leftOrNull()
        assertEquals(ResultCode.INVALID_RESUME_HANDLE, otherWorkspace?.code)
    }
}
