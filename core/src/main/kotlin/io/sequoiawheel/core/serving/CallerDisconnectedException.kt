package io.sequoiawheel.core.serving

/** The caller closed its connection before the answer was complete. */
class CallerDisconnectedException(
    cause: Throwable? = null,
) : Exception("the caller closed its connection", cause)
