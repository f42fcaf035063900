/*
 * The command line `sequoiawheel`. Results go to standard output, JSON-line logs to standard error, and the exit code
 * of a failure is the one of its result code.
 */
package io.sequoiawheel.cli

import kotlin.system.exitProcess

/** Runs the command line and ends the process with its exit code. */
fun main(arguments: Array<String>) {
    exitProcess(CommandLineFactory.create().execute(*arguments))
}
