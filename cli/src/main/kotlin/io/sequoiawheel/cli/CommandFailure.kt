package io.sequoiawheel.cli

import arrow.core.Either
import arrow.core.getOrElse
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode

/** Thrown to end a command: [failure] is printed to standard error, and its result code gives the exit code. */
class CommandFailure(
    val failure: Failure,
) : Exception(failure.detail) {
    constructor(code: ResultCode, detail: String) : this(Failure(code, detail))
}

/** Returns the value, or throws the failure as a [CommandFailure]. */
internal fun <T> Either<Failure, T>.orThrow(): T = getOrElse { throw CommandFailure(it) }
