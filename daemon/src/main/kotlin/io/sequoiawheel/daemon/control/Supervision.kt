package io.sequoiawheel.daemon.control

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

private val logger = KotlinLogging.logger {}

// An object that cannot be decoded fails again at once; the delay limits log volume and CPU use.
private const val RESTART_DELAY_MILLIS = 1_000L

/** Runs the endless [loop] of the controller [name], and restarts it when it returns or throws. */
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
                logger.error(error) { "controller $name failed and is restarted" }
            }
            delay(RESTART_DELAY_MILLIS)
        }
    }
