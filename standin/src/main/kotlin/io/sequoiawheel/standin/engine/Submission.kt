package io.sequoiawheel.standin.engine

/** Result of submitting a request. With any value other than [ACCEPTED], the request did not run. */
enum class Submission {
    /** The request was queued. */
    ACCEPTED,

    /** A generation with this id already exists. */
    DUPLICATE,

    /** The model is not loaded. */
    MODEL_NOT_LOADED,

    /** The prompt and the output limit together exceed the key-value memory. */
    TOO_LARGE,

    /** The engine is restarting and does not accept requests. */
    DOWN,
}
