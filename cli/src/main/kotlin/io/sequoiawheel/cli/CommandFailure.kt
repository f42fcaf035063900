package io.sequoiawheel.cli

import arrow.core.Either
import arrow.core.getOrElse
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode

/** Ends a command with the number, the text and the exit code of [failure]. */
class CommandFailure(
    val failure: Failure,
) : Exception(failure.detail) {
    constructor(code: ResultCode, detail: String) : this(Failure(code, detail))
}

/** Returns the value, or throws a [CommandFailure]. */
internal fun <T> Either<Failure, T>.orFail(): T = getOrElse { throw CommandFailure(it) }
