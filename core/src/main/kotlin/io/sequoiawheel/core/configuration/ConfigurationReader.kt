package io.sequoiawheel.core.configuration

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.ZoneName
import io.sequoiawheel.core.platform.ObjectApi
import io.sequoiawheel.core.platform.ObjectKey
import io.sequoiawheel.core.platform.ObjectKind

/** Read access to the configuration for operators. Failures: `OBJECT_NOT_FOUND`, `PLATFORM_UNAVAILABLE`. */
class ConfigurationReader(
    private val api: ObjectApi,
) {
    /** Returns the status of the latest document of [service]. */
    suspend fun status(service: ServiceName): Either<Failure, DocumentStatus> =
        api.get(ObjectKey(ObjectKind.STATUS, service.value)).flatMap { DocumentStatus.decode(it.value) }

    /** Returns the accepted document of [service]. */
    suspend fun accepted(service: ServiceName): Either<Failure, AcceptedDocument> =
        api.get(ObjectKey(ObjectKind.ACCEPTED, service.value)).flatMap { AcceptedDocument.decode(it.value) }

    /** Returns the accepted changes of [service], oldest first. */
    suspend fun audit(service: ServiceName): Either<Failure, List<AuditEntry>> = accepted(service).map { it.audit }

    /** Returns the in-force status that each zone reported. */
    suspend fun inForce(): Either<Failure, List<InForceStatus>> =
        api.list(ObjectKind.IN_FORCE).map { listing ->
            listing.objects.mapNotNull { InForceStatus.decode(it.value).getOrNull() }
        }

    /** Succeeds if all [zones] confirm [generation]; otherwise fails with `NOT_YET_IN_FORCE` and the missing zones. */
    suspend fun confirmInForce(
        service: ServiceName,
        generation: Long,
        zones: Set<ZoneName>,
    ): Either<Failure, Unit> =
        inForce().flatMap { reports ->
            val confirmed =
                reports.filter { it.isComplete && (it.report.lowest[service] ?: 0) >= generation }.map { it.zone }
            val missing = zones - confirmed.toSet()
            if (missing.isEmpty()) {
                Unit.right()
            } else {
                Failure(ResultCode.NOT_YET_IN_FORCE, "not confirmed by ${missing.joinToString()}").left()
            }
        }
}
