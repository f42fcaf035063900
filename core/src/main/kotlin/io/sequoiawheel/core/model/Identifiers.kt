/*
 * Identifiers exchanged between processes. They are value classes, so that a workspace cannot be passed where a replica
 * is expected, and they serialize as plain strings.
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

/** The name of a workspace (a customer's space). */
@Serializable
@JvmInline
value class WorkspaceName(
    val value: String,
) {
    override fun toString(): String = value
}

/** The id of an entry instance or backend server; each start of the process has a new one. */
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

/** The id of one request of a caller. */
@Serializable
@JvmInline
value class RequestId(
    val value: String,
) {
    override fun toString(): String = value
}
