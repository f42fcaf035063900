package io.sequoiawheel.core.model

/** Checks the constraints that the types of [ServiceDocument] cannot express. */
object DocumentValidator {
    private val namePattern = Regex("[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?")
    private const val MAXIMUM_DURATION_MILLIS = 31_536_000_000L
    private const val MAXIMUM_QUEUE_LENGTH = 1_000_000
    private const val MAXIMUM_WEIGHT = 1_000_000
    private const val MAXIMUM_ATTEMPTS = 10

    /** Returns every fault of [document], in the order of its fields; empty if it is valid. */
    fun validate(document: ServiceDocument): List<DocumentFault> =
        FaultCollector()
            .apply {
                checkIdentity(document)
                checkModels(document)
                checkCalls(document)
                checkLimits(document)
                checkWorkspaces(document.workspaces)
                checkZonesAndRoles(document)
            }.faults

    private fun FaultCollector.checkIdentity(document: ServiceDocument) {
        require(namePattern.matches(document.service.value), "$.service") { "must match ${namePattern.pattern}" }
        require(document.author.isNotBlank(), "$.author") { "must name the author of the change" }
    }

    private fun FaultCollector.checkModels(document: ServiceDocument) {
        val isEngine = document.kind == ServiceDocument.Kind.MODEL_ENGINE
        require(!isEngine || document.models.isNotEmpty(), "$.models") { "a model engine needs at least one model" }
        require(isEngine || document.models.isEmpty(), "$.models") { "a plain service has no models" }
        requireUnique(document.models.map { it.name }, "$.models", "model name")
        document.models.forEachIndexed { index, model ->
            val path = "$.models[$index]"
            require(model.name.isNotBlank(), "$path.name") { "must not be blank" }
            require(model.minimumWarmReplicas >= 0, "$path.minimumWarmReplicas") { "must be 0 or more" }
            requireUnique(model.adapters.map { it.name }, "$path.adapters", "adapter name")
        }
    }

    private fun FaultCollector.checkCalls(document: ServiceDocument) {
        val isPlain = document.kind == ServiceDocument.Kind.PLAIN_SERVICE
        require(!isPlain || document.calls.isNotEmpty(), "$.calls") { "a plain service needs at least one call" }
        require(isPlain || document.calls.isEmpty(), "$.calls") { "a model engine has no calls" }
        requireUnique(document.calls.map { it.name }, "$.calls", "call name")
        document.calls.forEachIndexed { index, call ->
            val path = "$.calls[$index]"
            require(namePattern.matches(call.name), "$path.name") { "must match ${namePattern.pattern}" }
            requireDuration(call.deadlineMillis, "$path.deadlineMillis")
            call.hedgeAfterMillis?.let { hedge ->
                require(call.idempotent, "$path.hedgeAfterMillis") { "only an idempotent call may be hedged" }
                require(hedge in 1..call.deadlineMillis, "$path.hedgeAfterMillis") { "must be 1 to deadlineMillis" }
            }
        }
    }

    private fun FaultCollector.checkLimits(document: ServiceDocument) {
        requireDuration(document.deadlines.firstTokenMillis, "$.deadlines.firstTokenMillis")
        requireDuration(document.deadlines.totalMillis, "$.deadlines.totalMillis")
        val retry = document.retryBudget
        require(retry.ratio in 0.0..1.0, "$.retryBudget.ratio") { "must be 0 to 1" }
        require(retry.minimumPerSecond in 0.0..1000.0, "$.retryBudget.minimumPerSecond") { "must be 0 to 1000" }
        require(retry.maximumAttempts in 1..MAXIMUM_ATTEMPTS, "$.retryBudget.maximumAttempts") {
            "must be 1 to $MAXIMUM_ATTEMPTS"
        }
        val queue = document.queue
        require(queue.maximumRequests in 1..MAXIMUM_QUEUE_LENGTH, "$.queue.maximumRequests") {
            "must be 1 to $MAXIMUM_QUEUE_LENGTH"
        }
        require(queue.maximumRequestsPerWorkspace in 1..queue.maximumRequests, "$.queue.maximumRequestsPerWorkspace") {
            "must be 1 to maximumRequests"
        }
        requireDuration(queue.maximumWaitMillis, "$.queue.maximumWaitMillis")
        val cold = document.coldStart
        require(cold.initialConcurrent >= 1, "$.coldStart.initialConcurrent") { "must be 1 or more" }
        requireDuration(cold.stepMillis, "$.coldStart.stepMillis")
        require(cold.growthFactor > 1.0, "$.coldStart.growthFactor") { "must be more than 1" }
        requireDuration(document.resumeWindowMillis, "$.resumeWindowMillis")
        requireDuration(document.claimRetentionMillis, "$.claimRetentionMillis")
    }

    private fun FaultCollector.checkWorkspaces(workspaces: ServiceDocument.WorkspacePolicies) {
        checkPolicy(workspaces.default, "$.workspaces.default")
        workspaces.named.forEach { (name, policy) -> checkPolicy(policy, "$.workspaces.named.$name") }
    }

    private fun FaultCollector.checkPolicy(
        policy: ServiceDocument.WorkspacePolicy,
        path: String,
    ) {
        require(policy.weight in 1..MAXIMUM_WEIGHT, "$path.weight") { "must be 1 to $MAXIMUM_WEIGHT" }
        require(policy.maximumConcurrent >= 1, "$path.maximumConcurrent") { "must be 1 or more" }
    }

    private fun FaultCollector.checkZonesAndRoles(document: ServiceDocument) {
        requireUnique(document.zonesOut.map { it.value }, "$.zonesOut", "availability zone")
        requireUnique(document.roles.map { it.replica.value }, "$.roles", "replica")
        document.roles.forEachIndexed { index, assignment ->
            require(assignment.role.isNotBlank(), "$.roles[$index].role") { "must not be blank" }
        }
    }

    private fun FaultCollector.requireDuration(
        millis: Long,
        path: String,
    ) = require(millis in 1..MAXIMUM_DURATION_MILLIS, path) { "must be 1 to $MAXIMUM_DURATION_MILLIS milliseconds" }

    private fun FaultCollector.requireUnique(
        names: List<String>,
        path: String,
        description: String,
    ) = require(names.distinct().size == names.size, path) { "contains a duplicate $description" }

    private class FaultCollector {
        val faults = mutableListOf<DocumentFault>()

        fun require(
            isValid: Boolean,
            path: String,
            problem: () -> String,
        ) {
            if (!isValid) faults += DocumentFault(path, problem())
        }
    }
}
