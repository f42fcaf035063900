package io.sequoiawheel.standin.engine

/** The engine's immediate answer to a request. Everything but [ACCEPTED] means that nothing ran. */
enum class Submission {
    /** The request is in the batch or waits for it. */
    ACCEPTED,

    /** A generation with this id is known already. */
    DUPLICATE,

    /** The model is not loaded. */
    MODEL_NOT_LOADED,

    /** Prompt and output limit exceed the memory. */
    TOO_LARGE,

    /** The engine is restarting and does not listen. */
    DOWN,
}
