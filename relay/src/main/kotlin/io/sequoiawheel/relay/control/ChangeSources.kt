package io.sequoiawheel.relay.control

import arrow.core.Either
import io.sequoiawheel.core.relay.HubSelection
import io.sequoiawheel.core.relay.Peer
import io.sequoiawheel.core.relay.StoreEras
import io.sequoiawheel.platform.StoreChanges
import io.sequoiawheel.platform.StoreKind
import io.sequoiawheel.relay.backend.Connector
import io.sequoiawheel.relay.internal.DecisionLog
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull

/** Where changes of the store are read: from the store, or from the hub of the own zone. Confined to the event loop. */
internal class ChangeSources(
    val store: StoreClient,
    private val connector: Connector,
    private val selection: HubSelection,
    private val eras: StoreEras,
    private val log: DecisionLog,
) {
    /** The newest era of the store. */
    val era: Long? get() = eras.current

    private var clients = emptyMap<Peer, StoreClient>()
    private var lastHub: Peer? = null
    private var regained: CompletableDeferred<Unit>? = null
    private val peersKnown = CompletableDeferred<Unit>()

    /** Whether other instances rely on this one. */
    val isHub: Boolean get() = selection.hasWatchers

    /** Records that the store does not answer, or that it does again. */
    fun pathIsLost(isLost: Boolean) {
        if (isLost) {
            regained = regained ?: CompletableDeferred()
        } else {
            regained?.complete(Unit)
            regained = null
        }
    }

    /** Records that the other instances were listed. */
    fun peersAreKnown() {
        peersKnown.complete(Unit)
    }

    /**
     * Waits until the other instances are known, but no longer than [limitMillis]: with a hub known from the start, no
     * watch is sent to the store first.
     */
    suspend fun awaitPeers(limitMillis: Long) {
        withTimeoutOrNull(limitMillis) { peersKnown.await() }
    }

    /** Waits while the path to the store is lost, but no longer than [limitMillis]. */
    suspend fun awaitPath(limitMillis: Long) {
        withTimeoutOrNull(limitMillis) { regained?.await() }
    }

    /** Returns the hub to watch, or null if the store is to be watched. */
    fun hub(): Peer? {
        val hub = selection.current()
        if (hub != lastHub) {
            log.belief("watching", mapOf("source" to (hub?.name ?: "store"), "before" to (lastHub?.name ?: "store")))
            lastHub = hub
        }
        return hub
    }

    /** Returns what [hub] knows after [revision] of [era]. */
    suspend fun watch(
        hub: Peer,
        kind: StoreKind,
        revision: Long,
        waitMillis: Long,
        era: Long?,
    ): Either<StoreFailure, StoreChanges> {
        val client =
            clients[hub] ?: StoreClient(connector) { hub.endpoint }.also { clients = mapOf(hub to it) }
        return client.watchPeer(kind, revision, waitMillis, era)
    }

    /** Records that [hub] cannot be relied on; this instance watches the store for a while. */
    fun failed(
        hub: Peer,
        failure: StoreFailure,
    ) {
        if (selection.abandon(hub)) log.dependency("hub lost", mapOf("hub" to hub.name, "detail" to failure.detail))
    }
}
