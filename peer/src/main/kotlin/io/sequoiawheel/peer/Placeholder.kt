package io.sequoiawheel.peer

internal object Placeholder
