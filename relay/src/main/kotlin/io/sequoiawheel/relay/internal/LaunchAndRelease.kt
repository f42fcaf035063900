package io.sequoiawheel.relay.internal

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch

/**
 * Launches [block] and calls [release] once it has ended. A coroutine that is cancelled before its first step does not
 * reach a finally block of its own.
 */
internal fun CoroutineScope.launchAndRelease(
    release: () -> Unit,
    block: suspend CoroutineScope.() -> Unit,
): Job = launch(block = block).also { it.invokeOnCompletion { release() } }
