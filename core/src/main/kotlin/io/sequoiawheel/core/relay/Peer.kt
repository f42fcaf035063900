package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.ZoneName

/** An instance and the endpoint on which it accepts datagrams and watches. */
data class Peer(
    val name: String,
    val zone: ZoneName,
    val endpoint: Endpoint,
)
