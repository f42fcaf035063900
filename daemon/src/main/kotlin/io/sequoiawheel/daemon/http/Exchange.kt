package io.sequoiawheel.daemon.http

import io.ktor.server.application.ApplicationCall
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.model.ServiceDocument
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.WorkspaceName

/** One request on its way through the filters. Each filter fills in what it establishes; one coroutine at a time. */
internal class Exchange(
    val call: ApplicationCall,
    val kind: Kind,
    val requestId: RequestId,
    val startedMillis: Long,
) {
    var workspaceOrNull: WorkspaceName? = null
        private set

    var workspace: WorkspaceName
        get() = checkNotNull(workspaceOrNull) { "the workspace is not identified yet" }
        set(value) {
            workspaceOrNull = value
        }

    /** Whether the request came before the instance began to leave. */
    var isAdmitted = false

    lateinit var document: ServiceDocument
    lateinit var policy: ServiceDocument.WorkspacePolicy

    /** Reading of the monotonic clock that the caller set as its deadline, or null. */
    var callerDeadlineMillis: Long? = null

    /** The service in the path or in the resume handle, once known to exist. */
    val service: ServiceName? get() = if (::document.isInitialized) document.service else null

    /** What the request did, for its log line and the metrics. */
    val record = Record()

    /** The interfaces of the callers. */
    enum class Kind(
        val label: String,
    ) {
        GENERATION("generation"),
        RESUME("resume"),
        CALL("call"),
        OUTCOME("outcome"),
    }

    /** Figures of one request. */
    class Record {
        var replica: InstanceId? = null
        var tokens = 0
        var stallMillis = 0L
        var queueMillis = 0L
        var attempts = 0
        var firstTokenMillis: Long? = null
    }
}
