package io.sequoiawheel.core.configuration

import io.sequoiawheel.core.model.ServiceDocument
import io.sequoiawheel.core.model.ServiceName
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import org.apache.commons.codec.digest.MurmurHash3

/**
 * The configuration in force in one daemon. The generation of a service never decreases, regardless of the order in
 * which documents arrive and of the peers that send them. Thread-safe.
 */
class AppliedConfiguration {
    private val state = MutableStateFlow<PersistentMap<ServiceName, AcceptedDocument>>(persistentMapOf())

    /** Documents in force by service, tombstones included; emits each change. */
    val inForce: StateFlow<PersistentMap<ServiceName, AcceptedDocument>> = state.asStateFlow()

    /** Applies [accepted] if its generation is higher than the one in force; returns whether it was applied. */
    fun apply(accepted: AcceptedDocument): Boolean {
        while (true) {
            val current = state.value
            if ((current[accepted.service]?.generation ?: 0) >= accepted.generation) return false
            if (state.compareAndSet(current, current.put(accepted.service, accepted))) return true
        }
    }

    /** Returns the document in force, or null if the service does not exist or was deleted. */
    fun of(service: ServiceName): ServiceDocument? = state.value[service]?.takeUnless { it.isTombstone }?.document

    /** Returns the generation in force, 0 if there is none. */
    fun generationOf(service: ServiceName): Long = state.value[service]?.generation ?: 0

    /** Returns the generations in force by service, tombstones included. */
    fun generations(): Map<ServiceName, Long> = state.value.mapValues { it.value.generation }

    /** Whether no document has been applied yet. */
    val isEmpty: Boolean get() = state.value.isEmpty()

    /** Returns a digest of services and generations: equal configurations have equal digests. */
    fun digest(): Long = digestOf(generations())

    companion object {
        /** Returns the digest of [generations], regardless of their order. */
        fun digestOf(generations: Map<ServiceName, Long>): Long =
            generations.entries.sumOf { (service, generation) ->
                MurmurHash3.hash128x64("$generation ${service.value}".toByteArray())[0]
            }
    }
}
