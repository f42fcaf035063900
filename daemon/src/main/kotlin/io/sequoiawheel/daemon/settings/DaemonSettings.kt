/*
 * The settings of one entry daemon. A process learns its addresses, zone and region only from here. docs/settings.md is
 * the reference.
 */
package io.sequoiawheel.daemon.settings

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ZoneName
import io.sequoiawheel.objectapi.PlatformSettings
import kotlinx.serialization.Serializable

/**
 * Settings of one entry daemon.
 *
 * @property instanceId identity of this incarnation of the process; a restarted process needs a new one
 * @property listen where callers connect
 * @property peer where other entry instances connect
 * @property resumeKey secret that signs resume handles, equal at all entry instances, as base64 of at least 16 bytes
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
    /** An address to listen on; [host] is an IP number and [port] 0 chooses a free port. */
    @Serializable
    data class Endpoint(
        val host: String,
        val port: Int,
    )

    /**
     * Bounds of what callers may send and of what is kept for them.
     *
     * @property bodyBytes largest request body
     * @property headerBytes largest sum of header names and values
     * @property wholeAnswerBytes largest generation that is kept for `whole` delivery
     * @property requests requests in progress, waiting ones included
     */
    @Serializable
    data class Limits(
        val bodyBytes: Int = 4_194_304,
        val headerBytes: Int = 16_384,
        val wholeAnswerBytes: Int = 4_194_304,
        val requests: Int = 20_000,
    )
}
