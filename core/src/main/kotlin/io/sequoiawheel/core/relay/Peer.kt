package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.ZoneName

/** Another entry instance, and where it listens for datagrams and for watches. */
data class Peer(
    val name: String,
    val zone: ZoneName,
    val endpoint: Endpoint,
)
