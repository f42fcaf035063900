/*
 * The settings of an entry daemon, its only source of its own addresses, availability zone and region. The reference is
 * docs/settings.md.
 */
package io.sequoiawheel.daemon.settings

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ZoneName
import io.sequoiawheel.objectapi.PlatformSettings
import kotlinx.serialization.Serializable

/**
 * Settings of an entry daemon.
 *
 * @property instanceId identity of this run of the process; a restarted process needs a new one
 * @property listen address for callers
 * @property peer address for other entry instances
 * @property resumeKey secret that signs resume handles, as base64 of at least 16 bytes; the same at all entry instances
 */
@Serializable
data class DaemonSettings(
    val instanceId: InstanceId,
    val region: String,
    val zone: ZoneName,
    val listen: Endpoint,
    val peer: Endpoint,
    val platform: PlatformSettings,
    val resumeKey: String,
    val limits: Limits = Limits(),
) {
    /** An address to listen on. [host] is a numeric IP address; [port] 0 selects a free port. */
    @Serializable
    data class Endpoint(
        val host: String,
        val port: Int,
    )

    /**
     * Limits on the size of requests and buffered answers and on the number of requests.
     *
     * @property bodyBytes maximum size of a request body
     * @property headerBytes maximum total size of header names and values
     * @property wholeAnswerBytes maximum size of a generation that is buffered for `whole` delivery
     * @property requests maximum number of requests in progress, including queued ones
     */
    @Serializable
    data class Limits(
        val bodyBytes: Int = 4_194_304,
        val headerBytes: Int = 16_384,
        val wholeAnswerBytes: Int = 4_194_304,
        val requests: Int = 20_000,
    )
}
