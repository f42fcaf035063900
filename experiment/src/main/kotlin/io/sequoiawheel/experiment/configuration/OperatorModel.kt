package io.sequoiawheel.experiment.configuration

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.DocumentCodec
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.ServiceDocument
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.platform.ObjectApi
import io.sequoiawheel.core.platform.ObjectKey
import io.sequoiawheel.core.platform.ObjectKind
import kotlinx.coroutines.delay

/** Simulates an operator who changes a number in a document with a conditional write and retries after a conflict. */
internal class OperatorModel(
    private val api: ObjectApi,
    private val clock: Clock,
) {
    var conflicts = 0
        private set

    /** Changes [service] and retries until the change is stored or times out; [number] identifies the change. */
    suspend fun change(
        service: ServiceName,
        author: String,
        number: Int,
    ) {
        val key = ObjectKey(ObjectKind.DOCUMENT, service.value)
        val timeoutAt = clock.nowMillis() + TIMEOUT_MILLIS
        while (clock.nowMillis() < timeoutAt) {
            val current = api.get(key)
            val code = current.leftOrNull()?.code
            if (code == null || code == ResultCode.OBJECT_NOT_FOUND) {
                val found = current.getOrNull()
                val isMine = found?.value?.contains("\"$author $number\"") == true
                if (isMine) return
                val text = DocumentCodec.encode(document(service, "$author $number", number))
                val failure = api.put(key, text, found?.version ?: 0).leftOrNull() ?: return
                if (failure.code == ResultCode.DOCUMENT_CONFLICT) conflicts++
            }
            delay(RETRY_DELAY_MILLIS)
        }
    }

    private fun document(
        service: ServiceName,
        author: String,
        number: Int,
    ) = ServiceDocument(
        service = service,
        kind = ServiceDocument.Kind.PLAIN_SERVICE,
        author = author,
        calls = listOf(ServiceDocument.Call("record", idempotent = false, deadlineMillis = 1_000L + number)),
    )

    private companion object {
        const val TIMEOUT_MILLIS = 120_000L
        const val RETRY_DELAY_MILLIS = 200L
    }
}
