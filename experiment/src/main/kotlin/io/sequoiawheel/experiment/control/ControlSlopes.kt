/*
 * Measures the control costs that grow with the size of a deployment, on the production data structures at several
 * sizes.
 */
package io.sequoiawheel.experiment.control

import io.sequoiawheel.core.admission.FairQueue
import io.sequoiawheel.core.admission.LengthEstimator
import io.sequoiawheel.core.admission.LengthKey
import io.sequoiawheel.core.admission.QueueLimits
import io.sequoiawheel.core.admission.QueuedRequest
import io.sequoiawheel.core.configuration.AcceptedDocument
import io.sequoiawheel.core.configuration.AppliedConfiguration
import io.sequoiawheel.core.grant.Capacity
import io.sequoiawheel.core.grant.GrantHeartbeat
import io.sequoiawheel.core.grant.GrantLedger
import io.sequoiawheel.core.grant.GrantView
import io.sequoiawheel.core.grant.Reservation
import io.sequoiawheel.core.membership.MembershipTable
import io.sequoiawheel.core.membership.MembershipUpdate
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.LoadReport
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.model.ServiceDocument
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.WorkspaceName
import io.sequoiawheel.core.model.ZoneName
import kotlinx.collections.immutable.toImmutableList

internal class ControlSlopes {
    private val zone = ZoneName("zone-a")
    private val self = entry(0)

    /** CPU time of one reservation and its release at a granting instance. */
    val reserveCpu =
        Slope.measure("reserveAndReleaseCpuMicros", "outstandingReservation", listOf(25, 50, 100, 200)) { outstanding ->
            val ledger = ledger(outstanding)
            Meter.cpuMicros(RESERVE_REPETITIONS) { index ->
                val request = RequestId("measured-$index")
                ledger.reserve(self.id, Reservation(request, WorkspaceName("w"), 200, 400), WARMED_UP_MILLIS)
                ledger.release(self.id, request)
            }
        }

    /** CPU time of one heartbeat at a granting instance. */
    val heartbeatCpu =
        Slope.measure("heartbeatCpuMicros", "outstandingReservation", listOf(25, 50, 100, 200)) { outstanding ->
            val ledger = ledger(outstanding)
            var sequence = FIRST_SEQUENCE
            var echo = 0L
            Meter.cpuMicros(HEARTBEAT_REPETITIONS) {
                echo = ledger.heartbeat(heartbeat(sequence++, echo, emptyList()), WARMED_UP_MILLIS).nonce
            }
        }

    /** CPU time of applying one changed instance list. */
    val membershipCpu =
        Slope.measure("membershipApplyCpuMicros", "listedInstance", listOf(100, 300, 600, 940)) { size ->
            val table = MembershipTable(self)
            val lists = listOf(instances(size), instances(size).drop(1))
            Meter.cpuMicros(MEMBERSHIP_REPETITIONS) { index ->
                val update = MembershipUpdate(self.id, index + 1L, lists[index % 2].toImmutableList())
                table.apply(update, index * MILLIS_PER_SECOND)
            }
        }

    /** Heap retained by the membership table. */
    val membershipHeap =
        Slope.measure("membershipHeapBytes", "listedInstance", listOf(1_000, 4_000, 16_000)) { size ->
            Meter
                .retainedBytes {
                    MembershipTable(self).apply {
                        apply(MembershipUpdate(self.id, 1, instances(size).toImmutableList()), 0)
                    }
                }.toDouble()
        }

    /** Heap retained by a document in force. */
    val configurationHeap =
        Slope.measure("documentHeapBytes", "namedWorkspace", listOf(4_200, 16_800, 67_200)) { workspaces ->
            Meter
                .retainedBytes {
                    AppliedConfiguration().apply {
                        apply(AcceptedDocument(1, 1, document(workspaces), emptyList()))
                    }
                }.toDouble()
        }

    /** Size of an accepted document, as it is stored and relayed. */
    val documentText =
        Slope.measure("acceptedDocumentBytes", "namedWorkspace", listOf(0, 420, 4_200)) { workspaces ->
            AcceptedDocument(1, 1, document(workspaces), emptyList())
                .encode()
                .length
                .toDouble()
        }

    /** Heap retained by the length estimator's histories. */
    val lengthHeap =
        Slope.measure("lengthHistoryHeapBytes", "workspace", listOf(250, 500, 1_000)) { workspaces ->
            Meter.retainedBytes { trainedEstimator(workspaces) }.toDouble()
        }

    /** CPU time of one request through the fair queue. */
    val queueCpu =
        Slope.measure("fairQueueCpuMicros", "backloggedWorkspace", listOf(10, 100, 400)) { workspaces ->
            val queue = FairQueue<Int>(QueueLimits(maximumRequests = 100_000, maximumWaitMillis = 10_000_000))
            repeat(workspaces) { queue.offer(QueuedRequest(it, WorkspaceName("w$it"), 1, COST_TOKENS), 0) }
            Meter.cpuMicros(QUEUE_REPETITIONS) { index ->
                val request = QueuedRequest(index, WorkspaceName("w${index % workspaces}"), 1, COST_TOKENS)
                queue.offer(request, index.toLong())
                queue.poll(index.toLong())
            }
        }

    val all: List<Slope>
        get() =
            listOf(
                reserveCpu,
                heartbeatCpu,
                membershipCpu,
                membershipHeap,
                configurationHeap,
                documentText,
                lengthHeap,
                queueCpu,
            )

    private fun ledger(outstanding: Int): GrantLedger {
        val ledger = GrantLedger(InstanceId("replica-0"), self.id)
        val view = GrantView(isResponsible = true, members = setOf(self.id), isFresh = true)
        var echo = 0L
        val held = List(outstanding) { Reservation(RequestId("held-$it"), WorkspaceName("w${it % 10}"), 200, 400) }
        for (sequence in 1 until FIRST_SEQUENCE) {
            val now = WARMED_UP_MILLIS - (FIRST_SEQUENCE - sequence) * MILLIS_PER_SECOND
            ledger.update(view, isReplicaLeaving = false, nowMillis = now)
            ledger.report(report(), now)
            echo = ledger.heartbeat(heartbeat(sequence, echo, held), now).nonce
        }
        ledger.report(report(), WARMED_UP_MILLIS)
        return ledger
    }

    private fun report() =
        LoadReport(
            startId = "replica-0-1",
            memoryCapacityTokens = 10_000_000,
            maximumConcurrent = 1_000,
            stepMillis = 40.0,
        )

    private fun heartbeat(
        sequence: Long,
        echo: Long,
        held: List<Reservation>,
    ) = GrantHeartbeat(self.id, sequence, echo, "replica-0-1", Capacity.NONE, held, isComplete = held.isNotEmpty())

    private fun entry(index: Int) =
        Instance(
            id = InstanceId("entry-$index"),
            role = Instance.Role.ENTRY,
            zone = zone,
            region = "region-a",
            address = "10.0.0.$index:8100",
            peerAddress = "10.0.0.$index:9100",
        )

    private fun instances(size: Int): List<Instance> = List(size, ::entry)

    private fun document(workspaces: Int): ServiceDocument =
        ServiceDocument(
            service = ServiceName("writers"),
            kind = ServiceDocument.Kind.MODEL_ENGINE,
            author = "operator",
            models = listOf(ServiceDocument.Model("letters")),
            workspaces =
                ServiceDocument.WorkspacePolicies(
                    named =
                        (0 until workspaces).associate {
                            WorkspaceName("workspace-$it") to ServiceDocument.WorkspacePolicy(weight = 1 + it % 4)
                        },
                ),
        )

    private fun trainedEstimator(workspaces: Int): LengthEstimator {
        val estimator = LengthEstimator()
        repeat(workspaces) { workspace ->
            val key = LengthKey(ServiceName("writers"), WorkspaceName("workspace-$workspace"), "letter")
            repeat(SAMPLES_PER_WORKSPACE) { estimator.record(key, 10 + it * it * it % LONGEST_OUTPUT) }
        }
        return estimator
    }

    private companion object {
        const val RESERVE_REPETITIONS = 2_000
        const val HEARTBEAT_REPETITIONS = 2_000
        const val MEMBERSHIP_REPETITIONS = 200
        const val QUEUE_REPETITIONS = 5_000
        const val FIRST_SEQUENCE = 60L
        const val WARMED_UP_MILLIS = 100_000L
        const val MILLIS_PER_SECOND = 1_000L
        const val COST_TOKENS = 500L
        const val SAMPLES_PER_WORKSPACE = 200
        const val LONGEST_OUTPUT = 20_000
    }
}
