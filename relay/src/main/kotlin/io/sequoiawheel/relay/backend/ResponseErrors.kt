package io.sequoiawheel.relay.backend

import java.io.IOException

/** Thrown when the received bytes are not a valid response, or are a response to another request. */
internal open class InvalidResponseException(
    message: String,
) : IOException(message)

/** Thrown when the body of a response exceeds the limit of its reader. */
internal class ResponseTooLargeException(
    limitBytes: Int,
) : InvalidResponseException("response body exceeds $limitBytes bytes")
