package io.sequoiawheel.daemon.http

import io.ktor.server.application.ApplicationCall
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.model.ServiceDocument
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.WorkspaceName

/** The state of one request, filled in by the filters. Not thread-safe; used by one coroutine at a time. */
internal class Exchange(
    val call: ApplicationCall,
    val kind: Kind,
    val requestId: RequestId,
    val startedMillis: Long,
) {
    var workspaceOrNull: WorkspaceName? = null
        private set

    var workspace: WorkspaceName
        get() = checkNotNull(workspaceOrNull) { "the workspace has not been identified yet" }
        set(value) {
            workspaceOrNull = value
        }

    /** Whether the request arrived before the instance started to shut down. */
    var isAdmitted = false

    lateinit var document: ServiceDocument
    lateinit var policy: ServiceDocument.WorkspacePolicy

    /** Deadline set by the caller, as a reading of the monotonic clock, or null if it set none. */
    var callerDeadlineMillis: Long? = null

    /** The service in the path or in the resume handle, once known to exist. */
    val service: ServiceName? get() = if (::document.isInitialized) document.service else null

    /** Figures of the request for its log line and the metrics. */
    val statistics = Statistics()

    /** The endpoints for callers. */
    enum class Kind(
        val label: String,
    ) {
        GENERATION("generation"),
        RESUME("resume"),
        CALL("call"),
        OUTCOME("outcome"),
    }

    /** Replica, tokens, attempts and times of one request. */
    class Statistics {
        var replica: InstanceId? = null
        var tokens = 0
        var stallMillis = 0L
        var queueMillis = 0L
        var attempts = 0
        var firstTokenMillis: Long? = null
    }
}
