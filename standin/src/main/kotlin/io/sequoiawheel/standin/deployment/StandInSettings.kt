/*
 * Settings of the stand-ins that one process runs: the platform, backend servers, or both. The command line reads them
 * as JSON. A stand-in without settings is not started.
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
 * @property seed seed of all random number generators
 * @property timeScale speed of the engines relative to real time
 * @property registerAt base URL of the instance list at which the backend servers register; the default is the one in
 *   this set
 * @property heartbeatMillis interval at which the backend servers renew their registration
 * @property lengths output length distributions by prompt kind, which a prompt selects with the prefix `#kind `
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
    /** Settings of the object store: its [port] and its call [budget]. */
    @Serializable
    data class ObjectStore(
        val port: Int = 0,
        val budget: CallBudget = CallBudget(),
    )

    /** Settings of one backend server; exactly one of [engine] and [plain] must be set. */
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

    /** Returns a copy in which the operating system chooses every port. */
    fun withFreePorts(): StandInSettings =
        copy(
            objectStore = objectStore?.copy(port = 0),
            instanceList = instanceList?.copy(port = 0),
            weightStore = weightStore?.copy(port = 0),
            backends = backends.map { it.copy(port = 0) },
        )

    /**
     * Returns the validation errors, each with the path of the setting; the list is empty if the settings are valid.
     */
    fun validationErrors(): List<String> =
        buildList {
            if (timeScale <= 0) add("$.timeScale: must be positive")
            if (heartbeatMillis <= 0) add("$.heartbeatMillis: must be positive")
            if (backends.isNotEmpty() && registerAt == null && instanceList == null) {
                add("$.registerAt: required for backend servers if instanceList is not set")
            }
            if (backends.distinctBy { it.id }.size != backends.size) add("$.backends: contains a duplicate id")
            backends.forEachIndexed { index, backend ->
                if ((backend.engine == null) == (backend.plain == null)) {
                    add("$.backends[$index]: exactly one of engine and plain must be set")
                }
            }
        }
}
