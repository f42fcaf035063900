package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.ZoneName

/** An entry instance and the endpoint on which it accepts datagrams and watches. */
data class Peer(
    val name: String,
    val zone: ZoneName,
    val endpoint: Endpoint,
)
