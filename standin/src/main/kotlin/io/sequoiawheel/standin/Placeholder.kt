package io.sequoiawheel.standin

internal object Placeholder
