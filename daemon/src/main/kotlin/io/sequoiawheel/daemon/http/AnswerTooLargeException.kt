package io.sequoiawheel.daemon.http

/** A `whole` answer exceeds the limit of the settings. */
internal class AnswerTooLargeException : Exception("the answer exceeds limits.wholeAnswerBytes; use stream delivery")
