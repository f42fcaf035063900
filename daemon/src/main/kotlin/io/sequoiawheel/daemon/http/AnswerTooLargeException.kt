package io.sequoiawheel.daemon.http

/** Thrown when an answer with `whole` delivery exceeds `limits.wholeAnswerBytes`. */
internal class AnswerTooLargeException : Exception("the answer exceeds limits.wholeAnswerBytes; use stream delivery")
