package io.sequoiawheel.daemon.control

import io.sequoiawheel.core.configuration.AcceptedDocument
import io.sequoiawheel.core.membership.MembershipUpdate
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.peer.generated.RelayRequest
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch

/** Sends updates down the zone's tree. Receivers are called concurrently, so that a dead one delays no other. */
internal class UpdateRelay(
    private val self: InstanceId,
    private val calls: PeerCalls,
    private val tree: ZoneTree,
    private val scope: CoroutineScope,
) {
    fun send(documents: List<AcceptedDocument>) = send(request().addAllAccepted(documents.map(PeerMessages::toMessage)))

    fun send(update: MembershipUpdate) = send(request().setMembership(PeerMessages.toMessage(update)))

    private fun request() = RelayRequest.newBuilder().setSender(self.value)

    private fun send(request: RelayRequest.Builder) {
        val message = request.build()
        tree.receivers().forEach { receiver ->
            scope.launch { calls.call(receiver) { relay(message) } }
        }
    }
}
