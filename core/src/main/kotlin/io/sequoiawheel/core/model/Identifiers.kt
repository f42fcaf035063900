/*
 * Identifiers that travel between processes. They are value classes, so that a workspace can never be passed where a
 * replica is expected, and serialize as plain strings.
 */
package io.sequoiawheel.core.model

import kotlinx.serialization.Serializable

/** The name of a service, unique in a deployment. */
@Serializable
@JvmInline
value class ServiceName(
    val value: String,
) {
    override fun toString(): String = value
}

/** The name of a workspace, which is one customer's space. */
@Serializable
@JvmInline
value class WorkspaceName(
    val value: String,
) {
    override fun toString(): String = value
}

/** The identity of one instance, entry instance or backend server, for one incarnation of its process. */
@Serializable
@JvmInline
value class InstanceId(
    val value: String,
) {
    override fun toString(): String = value
}

/** The name of an availability zone. */
@Serializable
@JvmInline
value class ZoneName(
    val value: String,
) {
    override fun toString(): String = value
}

/** The identity of one caller's request. */
@Serializable
@JvmInline
value class RequestId(
    val value: String,
) {
    override fun toString(): String = value
}
