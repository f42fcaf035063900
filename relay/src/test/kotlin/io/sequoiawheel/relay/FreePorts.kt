package io.sequoiawheel.relay

internal typealias FreePorts = io.sequoiawheel.standin.server.FreePorts
