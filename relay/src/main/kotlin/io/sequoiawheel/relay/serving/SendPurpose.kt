package io.sequoiawheel.relay.serving

/** Why a request is sent to a replica; [label] is the value in metrics. */
internal enum class SendPurpose(
    val label: String,
) {
    FIRST_ATTEMPT("first"),
    RETRY("retry"),

    /** Continues a generation from a copy of its KV cache. */
    CONTINUATION("continuation"),

    /** Asks a replica to copy a generation's KV cache to another one. */
    COPY("copy"),

    /** Asks a replica to stop a generation that went on at another one. Nothing else may be sent during a pause. */
    STOP("stop"),

    /** Frees the copy that a stop made. */
    RELEASE("release"),
}
