package io.sequoiawheel.relay

import java.net.HttpURLConnection
import java.net.URI
import java.nio.file.Files
import java.nio.file.Path

/** Starts entry instances as separate processes against the stand-ins of a [RelayFixture]. */
internal object RelayChildProcess {
    /** The heap and the flags that bear on memory, as the deployment file starts an instance. */
    val DEPLOYED_OPTIONS =
        listOf(
            "-Xmx96m",
            "-Xms24m",
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Dio.netty.noUnsafe=false",
            "-Dio.netty.allocator.type=unpooled",
        )

    /** Returns the settings of an instance of zone a. */
    fun settings(
        fixture: RelayFixture,
        name: String,
        callers: Int,
        readiness: Int,
        limits: String = LIMITS,
    ) = """{"node":"$name","ip":"127.0.0.1","zone":"a","listen":{"http":"127.0.0.1:$callers",
        "ready":"127.0.0.1:$readiness"},"port_range":[${FreePorts.allocate()},0],"limits":{"cpu_share":1.0,$limits},
        "bounds":{"contact_ms":3000,"drain_ms":2000,"grace_s":8,"revoke_ms":5000,"retry_ratio":0.2,"retry_extra":54,
        "retry_window_s":10,"warmup_excess":1.5,"warmup_margin":5},
        "platform":{"addr":"127.0.0.1:${fixture.store.port}"}}"""

    /** Starts a process in [directory], which receives its settings, output and errors. */
    fun start(
        directory: Path,
        settings: String,
        options: List<String> = emptyList(),
    ): Process {
        val file = directory.resolve("node.json")
        Files.writeString(file, settings)
        return startWith(directory, file, options)
    }

    /** Starts a process that reads its settings from [file]; [directory] receives its output and errors. */
    fun startWith(
        directory: Path,
        file: Path,
        options: List<String> = emptyList(),
    ): Process {
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val program = listOf("-cp", System.getProperty("java.class.path"), "io.sequoiawheel.relay.MainKt")
        val builder =
            ProcessBuilder(listOf(java) + options + program)
                .redirectOutput(directory.resolve("out").toFile())
                .redirectError(directory.resolve("err").toFile())
        builder.environment()["SEQUOIAWHEEL_NODE_FILE"] = file.toString()
        return builder.start()
    }

    /** Returns the status of the readiness request on [port], or 0 if there is no response. */
    fun readiness(port: Int): Int =
        runCatching {
            val connection = URI("http://127.0.0.1:$port/v1/readyz").toURL().openConnection() as HttpURLConnection
            connection.connectTimeout = TIMEOUT_MILLIS
            connection.readTimeout = TIMEOUT_MILLIS
            connection.responseCode
        }.getOrDefault(0)

    /** The limits of an instance whose test does not set any. */
    const val LIMITS = """"memory_mb":280"""
    private const val TIMEOUT_MILLIS = 2_000
}
