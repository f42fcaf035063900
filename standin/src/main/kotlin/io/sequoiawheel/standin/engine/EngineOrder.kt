package io.sequoiawheel.standin.engine

/**
 * An accepted order that sets the absolute state of a target.
 *
 * @property target `model/<name>`, `adapter/<name>`, `version/<model>` or `role`
 * @property fencing fencing number of the order
 * @property desired `loaded` or `unloaded` for models and adapters, else the version or role
 * @property isInEffect whether the engine has reached the desired state
 */
data class EngineOrder(
    val target: String,
    val fencing: Long,
    val desired: String,
    val isInEffect: Boolean,
)
