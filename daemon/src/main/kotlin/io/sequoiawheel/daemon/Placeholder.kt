package io.sequoiawheel.daemon

internal object Placeholder
