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

/** An operator who changes one number of a document by a conditional write, and reads again after a conflict. */
internal class OperatorModel(
    private val api: ObjectApi,
    private val clock: Clock,
) {
    var conflicts = 0
        private set

    /** Changes [service] until the change is in the object; [number] tells the changes apart. */
    suspend fun change(
        service: ServiceName,
        author: String,
        number: Int,
    ) {
        val key = ObjectKey(ObjectKind.DOCUMENT, service.value)
        val giveUpAt = clock.nowMillis() + GIVE_UP_MILLIS
        while (clock.nowMillis() < giveUpAt) {
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
            delay(RETRY_MILLIS)
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
        const val GIVE_UP_MILLIS = 120_000L
        const val RETRY_MILLIS = 200L
    }
}
