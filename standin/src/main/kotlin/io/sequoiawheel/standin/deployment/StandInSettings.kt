/*
 * The stand-ins that one process hosts: platform, backend servers, or both. The JSON form is what the command line
 * reads; a stand-in whose settings are absent is not started.
 */
package io.sequoiawheel.standin.deployment

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.ZoneName
import io.sequoiawheel.standin.engine.EngineSettings
import io.sequoiawheel.standin.engine.LengthDistribution
import io.sequoiawheel.standin.instances.InstanceListSettings
import io.sequoiawheel.standin.plain.PlainServiceSettings
import io.sequoiawheel.standin.store.CallBudget
import io.sequoiawheel.standin.weight.WeightStoreSettings
import kotlinx.serialization.Serializable

/**
 * @property region region of every backend server
 * @property seed seed of every random number
 * @property timeScale how much faster than real time the engines work
 * @property registerAt base URL of the instance list for the backend servers; absent means the one in this set
 * @property heartbeatMillis interval at which the backend servers renew their registration
 * @property lengths output lengths by the kind that a prompt names with `#kind `
 */
@Serializable
data class StandInSettings(
    val region: String,
    val seed: Long = 1,
    val timeScale: Double = 1.0,
    val objectStore: ObjectStore? = null,
    val instanceList: InstanceListSettings? = null,
    val weightStore: WeightStoreSettings? = null,
    val registerAt: String? = null,
    val heartbeatMillis: Long = 1_000,
    val lengths: Map<String, LengthDistribution> = emptyMap(),
    val backends: List<Backend> = emptyList(),
) {
    /** The object store at [port] with its [budget] of calls. */
    @Serializable
    data class ObjectStore(
        val port: Int = 0,
        val budget: CallBudget = CallBudget(),
    )

    /** One backend server; exactly one of [engine] and [plain] is given. */
    @Serializable
    data class Backend(
        val id: InstanceId,
        val service: ServiceName,
        val zone: ZoneName,
        val port: Int = 0,
        val startsCold: Boolean = false,
        val engine: EngineSettings? = null,
        val plain: PlainServiceSettings? = null,
    )

    /** Returns the same set with every port chosen by the system. */
    fun withFreePorts(): StandInSettings =
        copy(
            objectStore = objectStore?.copy(port = 0),
            instanceList = instanceList?.copy(port = 0),
            weightStore = weightStore?.copy(port = 0),
            backends = backends.map { it.copy(port = 0) },
        )

    /** Returns what is wrong with the settings, each with its path; empty if nothing is. */
    fun faults(): List<String> =
        buildList {
            if (timeScale <= 0) add("$.timeScale: must be positive")
            if (heartbeatMillis <= 0) add("$.heartbeatMillis: must be positive")
            if (backends.isNotEmpty() && registerAt == null && instanceList == null) {
                add("$.registerAt: backend servers need an instance list to register at")
            }
            if (backends.distinctBy { it.id }.size != backends.size) add("$.backends: names an id twice")
            backends.forEachIndexed { index, backend ->
                if ((backend.engine == null) == (backend.plain == null)) {
                    add("$.backends[$index]: must have either engine or plain")
                }
            }
        }
}
