/*
 * The document in which the owning team configures one service. It is stored as JSON in the object API. Unknown fields
 * are rejected, so that a misspelt limit does not silently fall back to its default. docs/service-document.md is its
 * reference.
 */
package io.sequoiawheel.core.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The configuration of one service.
 *
 * @property author who made this change, for the audit trail
 * @property zonesOut availability zones that operators have taken out of service; they receive no new work
 * @property resumeWindowMillis how long an engine keeps a generation after its caller disconnected
 * @property claimRetentionMillis how long the outcome of a non-idempotent call can be queried by key
 * @property deleted whether this document deletes the service
 */
@Serializable
data class ServiceDocument(
    val service: ServiceName,
    val kind: Kind,
    val author: String,
    val fencing: Fencing = Fencing.IGNORED,
    val delivery: Delivery = Delivery.STREAM,
    val models: List<Model> = emptyList(),
    val calls: List<Call> = emptyList(),
    val deadlines: Deadlines = Deadlines(),
    val retryBudget: RetryPolicy = RetryPolicy(),
    val queue: QueuePolicy = QueuePolicy(),
    val workspaces: WorkspacePolicies = WorkspacePolicies(),
    val zonesOut: List<ZoneName> = emptyList(),
    val coldStart: ColdStartPolicy = ColdStartPolicy(),
    val roles: List<RoleAssignment> = emptyList(),
    val resumeWindowMillis: Long = 30_000,
    val claimRetentionMillis: Long = 2_592_000_000,
    val deleted: Boolean = false,
) {
    /** The kind of backend servers that the service has. */
    @Serializable
    enum class Kind {
        @SerialName("modelEngine")
        MODEL_ENGINE,

        @SerialName("plainService")
        PLAIN_SERVICE,
    }

    /** Whether the backend servers reject an order with an old fencing number. */
    @Serializable
    enum class Fencing {
        @SerialName("checked")
        CHECKED,

        @SerialName("ignored")
        IGNORED,
    }

    /** How a generation is delivered if the request does not specify it. */
    @Serializable
    enum class Delivery {
        @SerialName("stream")
        STREAM,

        @SerialName("whole")
        WHOLE,
    }

    /** A model with its version and adapters, and the minimum number of replicas that keep it warm. */
    @Serializable
    data class Model(
        val name: String,
        val version: String = "1",
        val adapters: List<Adapter> = emptyList(),
        val minimumWarmReplicas: Int = 1,
    )

    /** An adapter of a model. */
    @Serializable
    data class Adapter(
        val name: String,
        val version: String = "1",
    )

    /** A call of a plain service. [hedgeAfterMillis] is allowed for idempotent calls only. */
    @Serializable
    data class Call(
        val name: String,
        val idempotent: Boolean,
        val deadlineMillis: Long = 10_000,
        val hedgeAfterMillis: Long? = null,
    )

    /** Time limits for generations, in milliseconds. A caller may request shorter limits, but not longer ones. */
    @Serializable
    data class Deadlines(
        val firstTokenMillis: Long = 60_000,
        val totalMillis: Long = 3_600_000,
    )

    /** Limits retries to a ratio of first attempts, with a minimum per second that is always allowed. */
    @Serializable
    data class RetryPolicy(
        val ratio: Double = 0.1,
        val minimumPerSecond: Double = 1.0,
        val maximumAttempts: Int = 3,
    )

    /** Limits of the queue that each entry instance keeps for the service. */
    @Serializable
    data class QueuePolicy(
        val maximumRequests: Int = 1_000,
        val maximumRequestsPerWorkspace: Int = 200,
        val maximumWaitMillis: Long = 30_000,
    )

    /** The policies of named workspaces, and the default policy of all others. */
    @Serializable
    data class WorkspacePolicies(
        val default: WorkspacePolicy = WorkspacePolicy(),
        val named: Map<WorkspaceName, WorkspacePolicy> = emptyMap(),
        val allowUnnamed: Boolean = true,
    ) {
        /** Returns the policy of [workspace], or null if the service does not admit it. */
        fun of(workspace: WorkspaceName): WorkspacePolicy? = named[workspace] ?: default.takeIf { allowUnnamed }
    }

    /**
     * Share and limits of one workspace.
     *
     * @property weight share of the service relative to other workspaces
     * @property maximumConcurrent maximum number of requests in progress at one entry instance
     * @property priority passed to the engines; higher values are served first
     */
    @Serializable
    data class WorkspacePolicy(
        val weight: Int = 1,
        val maximumConcurrent: Int = 1_000,
        val priority: Int = 0,
    )

    /** Limits the concurrent requests to a backend server that just started, over all entry instances together. */
    @Serializable
    data class ColdStartPolicy(
        val initialConcurrent: Int = 1,
        val stepMillis: Long = 5_000,
        val growthFactor: Double = 2.0,
    )

    /** Assigns a role to a replica. */
    @Serializable
    data class RoleAssignment(
        val replica: InstanceId,
        val role: String,
    )
}
