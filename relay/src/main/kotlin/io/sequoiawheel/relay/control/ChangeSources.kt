package io.sequoiawheel.relay.control

import arrow.core.Either
import io.sequoiawheel.core.relay.HubSelection
import io.sequoiawheel.core.relay.Peer
import io.sequoiawheel.core.relay.StoreEras
import io.sequoiawheel.platform.StoreChangesEnd
import io.sequoiawheel.platform.StoreEvent
import io.sequoiawheel.platform.StoreKind
import io.sequoiawheel.relay.backend.Connector
import io.sequoiawheel.relay.internal.DecisionLog
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Selects the source of store changes: the store itself, or the hub of this instance's zone. Confined to the event
 * loop.
 */
internal class ChangeSources(
    val store: StoreClient,
    private val connector: Connector,
    private val selection: HubSelection,
    private val eras: StoreEras,
    private val log: DecisionLog,
) {
    /** The newest known era of the store. */
    val era: Long? get() = eras.current

    private var clients = emptyMap<Peer, StoreClient>()
    private var previousHub: Peer? = null
    private var storeRecovery: CompletableDeferred<Unit>? = null
    private val peerDiscovery = CompletableDeferred<Unit>()

    /** Whether other instances watch this one instead of the store. */
    val isHub: Boolean get() = selection.hasWatchers

    /** Records that the store stopped responding, or that it responds again. */
    fun setStoreUnreachable(isUnreachable: Boolean) {
        if (isUnreachable) {
            storeRecovery = storeRecovery ?: CompletableDeferred()
        } else {
            storeRecovery?.complete(Unit)
            storeRecovery = null
        }
    }

    /** Records that the list of the other instances was read. */
    fun completePeerDiscovery() {
        peerDiscovery.complete(Unit)
    }

    /**
     * Waits until the other instances are known, but no longer than [limitMillis]. An instance that knows its hub from
     * the start sends no watch to the store first.
     */
    suspend fun awaitPeerDiscovery(limitMillis: Long) {
        withTimeoutOrNull(limitMillis) { peerDiscovery.await() }
    }

    /** Waits until the store responds again, but no longer than [limitMillis]. */
    suspend fun awaitStoreRecovery(limitMillis: Long) {
        withTimeoutOrNull(limitMillis) { storeRecovery?.await() }
    }

    /** Returns the hub to watch, or null if this instance must watch the store. */
    fun currentHub(): Peer? {
        val hub = selection.current()
        if (hub != previousHub) {
            log.stateChange(
                "watching",
                mapOf("source" to (hub?.name ?: "store"), "before" to (previousHub?.name ?: "store")),
            )
            previousHub = hub
        }
        return hub
    }

    /** Passes the changes after [revision] of [era] that [hub] recorded to [onEvent]. */
    suspend fun watch(
        hub: Peer,
        kind: StoreKind,
        revision: Long,
        waitMillis: Long,
        era: Long?,
        onEvent: (StoreEvent) -> Unit,
    ): Either<StoreFailure, StoreChangesEnd> {
        val client =
            clients[hub] ?: StoreClient(connector) { hub.endpoint }.also { clients = mapOf(hub to it) }
        return client.watchPeer(kind, revision, waitMillis, era, onEvent)
    }

    /** Records that [hub] failed or is out of date; this instance then watches the store for a while. */
    fun reportHubFailure(
        hub: Peer,
        failure: StoreFailure,
    ) {
        if (selection.abandon(hub)) log.dependency("hub failed", mapOf("hub" to hub.name, "detail" to failure.detail))
    }
}
