package io.sequoiawheel.cli

import io.sequoiawheel.core.platform.ObjectApi
import io.sequoiawheel.objectapi.HttpObjectApi
import io.sequoiawheel.objectapi.PlatformSettings
import io.sequoiawheel.objectapi.PlatformTransport
import kotlinx.coroutines.runBlocking
import picocli.CommandLine.Option

/** Connection options for the object API, shared by the commands that use it. */
class PlatformOptions {
    @Option(
        names = ["--platform"],
        paramLabel = "URL",
        required = true,
        defaultValue = "\${env:SEQUOIAWHEEL_PLATFORM}",
        description = ["Base URL of the object API (default: the environment variable SEQUOIAWHEEL_PLATFORM)."],
    )
    private lateinit var baseUrl: String

    /** Calls [block] with an object API client and closes its connections afterwards. */
    fun <T> use(block: suspend (ObjectApi) -> T): T {
        val settings = PlatformSettings(objectApi = baseUrl, instanceList = baseUrl, weightStore = baseUrl)
        return PlatformTransport(settings).use { transport ->
            runBlocking { block(HttpObjectApi(baseUrl, transport)) }
        }
    }
}
