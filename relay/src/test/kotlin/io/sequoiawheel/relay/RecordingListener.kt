package io.sequoiawheel.relay

import io.sequoiawheel.core.relay.ClockReading
import io.sequoiawheel.core.relay.ListReliability
import io.sequoiawheel.platform.StoreObject
import io.sequoiawheel.relay.control.KindChange
import io.sequoiawheel.relay.control.KindListener
import io.sequoiawheel.relay.control.StoreListing

/**
 * Records the names of changed objects in [applied].
 *
 * @param fails whether the change of the named object cannot be applied
 * @param listed called with the number of objects of each listing
 * @param confirmed called for each confirmation
 */
internal class RecordingListener(
    private val applied: MutableCollection<String>,
    private val fails: (String) -> Boolean = { false },
    private val listed: (Int) -> Unit = {},
    private val confirmed: (ClockReading) -> Unit = {},
) : KindListener<String> {
    override fun decode(target: StoreObject) = target.name

    override fun onListed(
        listing: StoreListing<String>,
        reliability: ListReliability,
    ) = listed(listing.objects.size)

    override fun onChanged(
        change: KindChange<String>,
        afterOutage: Boolean,
    ) {
        check(!fails(change.name)) { "planted failure" }
        applied += change.name
    }

    override fun onConfirmed(asOf: ClockReading) = confirmed(asOf)
}
