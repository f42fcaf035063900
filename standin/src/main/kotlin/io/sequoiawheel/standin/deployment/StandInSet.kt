package io.sequoiawheel.standin.deployment

import io.sequoiawheel.core.history.HistoryRecorder
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.standin.engine.EngineServer
import io.sequoiawheel.standin.engine.OutputLengths
import io.sequoiawheel.standin.instances.InstanceListServer
import io.sequoiawheel.standin.plain.PlainServiceServer
import io.sequoiawheel.standin.server.BackendObserver
import io.sequoiawheel.standin.server.HistoryObserver
import io.sequoiawheel.standin.server.StandInServer
import io.sequoiawheel.standin.store.ObjectStoreModel
import io.sequoiawheel.standin.store.ObjectStoreServer
import io.sequoiawheel.standin.weight.WeightStoreServer
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.apache.commons.rng.simple.RandomSource
import java.util.concurrent.ConcurrentHashMap

/**
 * The stand-ins that run in one process. Backend servers register at the instance list, renew their registration while
 * they run, and get a new instance id at each restart.
 *
 * @param history records the events of the backend servers, or null to record nothing
 */
class StandInSet(
    private val settings: StandInSettings,
    private val history: HistoryRecorder? = null,
) {
    private val clock = Clock { System.nanoTime() / NANOS_PER_MILLI }
    private val scope = CoroutineScope(Dispatchers.Default + SupervisorJob())
    private val leaving = ConcurrentHashMap.newKeySet<InstanceId>()
    private val lengths = OutputLengths(settings.seed, settings.lengths)

    /** The object store, or null if it is not configured. */
    val objectStore: ObjectStoreServer? =
        settings.objectStore?.let { store ->
            val random = RandomSource.XO_RO_SHI_RO_128_PP.create(settings.seed)
            ObjectStoreServer(ObjectStoreModel(clock, random, store.budget, scope), store.port)
        }

    /** The instance list, or null if it is not configured. */
    val instanceList: InstanceListServer? = settings.instanceList?.let(::InstanceListServer)

    /** The weight store, or null if it is not configured. */
    val weightStore: WeightStoreServer? = settings.weightStore?.let(::WeightStoreServer)

    /** The model engines by their configured id. */
    val engines: Map<InstanceId, EngineServer> =
        settings.backends
            .filter { it.engine != null }
            .associate { it.id to engineServer(it) }

    /** The plain services by their configured id. */
    val plainServices: Map<InstanceId, PlainServiceServer> =
        settings.backends
            .filter { it.plain != null }
            .associate { it.id to plainServer(it) }

    init {
        val errors = settings.validationErrors()
        require(errors.isEmpty()) { errors.joinToString("; ") }
    }

    /** Starts all stand-ins. Throws if a port is already in use. */
    suspend fun start() {
        listOfNotNull(objectStore, instanceList, weightStore).forEach { it.start() }
        settings.backends.forEach { server(it).start() }
        if (settings.backends.isNotEmpty()) scope.launch { renewRegistrations() }
    }

    /** Registers a backend server as leaving; it continues to serve its requests. */
    fun leave(id: InstanceId) {
        leaving += id
    }

    /** Reverts [leave]. */
    fun rejoin(id: InstanceId) {
        leaving -= id
    }

    /** Stops all stand-ins permanently. */
    suspend fun close() {
        scope.cancel()
        settings.backends.forEach { server(it).close() }
        listOfNotNull(weightStore, instanceList, objectStore).forEach { it.close() }
    }

    private suspend fun renewRegistrations() {
        val registration = Registration(settings.registerAt ?: checkNotNull(instanceList).baseUrl)
        while (scope.isActive) {
            settings.backends.filter { server(it).running }.forEach { registration.renew(instanceOf(it)) }
            delay(settings.heartbeatMillis)
        }
    }

    private fun instanceOf(backend: StandInSettings.Backend): Instance {
        val server = server(backend)
        val id = if (server.starts <= 1) backend.id else InstanceId("${backend.id.value}-r${server.starts}")
        return Instance(
            id = id,
            role = Instance.Role.BACKEND,
            zone = backend.zone,
            region = settings.region,
            address = server.address,
            service = backend.service,
            state = if (backend.id in leaving) Instance.State.LEAVING else Instance.State.LIVE,
        )
    }

    private fun server(backend: StandInSettings.Backend): StandInServer =
        engines[backend.id] ?: plainServices.getValue(backend.id)

    private fun engineServer(backend: StandInSettings.Backend): EngineServer =
        EngineServer(
            settings = checkNotNull(backend.engine),
            lengths = lengths,
            seed = seedOf(backend),
            timeScale = settings.timeScale,
            startsCold = backend.startsCold,
            port = backend.port,
            observer = observerOf(backend),
        )

    private fun plainServer(backend: StandInSettings.Backend): PlainServiceServer =
        PlainServiceServer(checkNotNull(backend.plain), seedOf(backend), backend.port, observerOf(backend))

    private fun seedOf(backend: StandInSettings.Backend): Long = settings.seed * SEED_FACTOR + backend.id.hashCode()

    private fun observerOf(backend: StandInSettings.Backend): BackendObserver =
        history?.let { HistoryObserver(it, backend.id, clock) } ?: BackendObserver

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L

        /** Separates the seeds of the backend servers for consecutive seeds in the settings. */
        const val SEED_FACTOR = 1_000_003L
    }
}
