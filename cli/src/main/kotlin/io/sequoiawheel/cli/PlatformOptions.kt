package io.sequoiawheel.cli

import io.sequoiawheel.core.platform.ObjectApi
import io.sequoiawheel.objectapi.HttpObjectApi
import io.sequoiawheel.objectapi.PlatformSettings
import io.sequoiawheel.objectapi.PlatformTransport
import kotlinx.coroutines.runBlocking
import picocli.CommandLine.Option

/** The options that reach the object API, shared by every command that uses it. */
class PlatformOptions {
    @Option(
        names = ["--platform"],
        paramLabel = "URL",
        required = true,
        defaultValue = "\${env:SEQUOIAWHEEL_PLATFORM}",
        description = ["Base URL of the object API; or set SEQUOIAWHEEL_PLATFORM."],
    )
    private lateinit var baseUrl: String

    /** Runs [block] with a client that is closed afterwards. */
    fun <T> use(block: suspend (ObjectApi) -> T): T {
        val settings = PlatformSettings(objectApi = baseUrl, instanceList = baseUrl, weightStore = baseUrl)
        return PlatformTransport(settings).use { transport ->
            runBlocking { block(HttpObjectApi(baseUrl, transport)) }
        }
    }
}
