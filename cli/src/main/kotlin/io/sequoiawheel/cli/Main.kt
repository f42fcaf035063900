/*
 * Entry point of the `sequoiawheel` command line. Results go to standard output and logs, as JSON lines, to standard
 * error. A failed command exits with the exit code of its result code.
 */
package io.sequoiawheel.cli

import kotlin.system.exitProcess

/** Executes the command line and exits with its exit code. */
fun main(arguments: Array<String>) {
    exitProcess(CommandLineFactory.create().execute(*arguments))
}
