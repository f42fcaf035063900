package io.sequoiawheel.daemon.control

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

private val logger = KotlinLogging.logger {}

// An unreadable object fails again at once; a pause keeps it from filling the log and the processor.
private const val RESTART_MILLIS = 1_000L

/** Runs the endless [loop] of the controller [name] and starts it again after an unexpected error. */
internal fun CoroutineScope.supervise(
    name: String,
    loop: suspend () -> Unit,
): Job =
    launch {
        while (true) {
            try {
                loop()
            } catch (error: CancellationException) {
                throw error
            } catch (error: Exception) {
                logger.error(error) { "controller $name failed and starts again" }
            }
            delay(RESTART_MILLIS)
        }
    }
