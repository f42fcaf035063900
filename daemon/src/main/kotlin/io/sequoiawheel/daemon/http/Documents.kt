package io.sequoiawheel.daemon.http

import io.sequoiawheel.core.model.ServiceDocument
import io.sequoiawheel.core.model.ServiceName

/** Looks up the service documents in force at this instance. Implementations are thread-safe. */
internal interface Documents {
    /** Whether this instance has received a configuration. */
    val isKnown: Boolean

    /** Returns the document of [service], or null if there is none or it was deleted. */
    fun find(service: ServiceName): ServiceDocument?
}
