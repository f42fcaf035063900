package io.sequoiawheel.cli

internal object Placeholder
