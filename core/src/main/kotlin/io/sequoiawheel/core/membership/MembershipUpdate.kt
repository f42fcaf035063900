package io.sequoiawheel.core.membership

import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.InstanceId
import kotlinx.collections.immutable.ImmutableList

/**
 * The instance list as read by one watcher.
 *
 * @property watcher the entry instance that polled the list
 * @property sequence increases with each change that this watcher reads
 */
data class MembershipUpdate(
    val watcher: InstanceId,
    val sequence: Long,
    val instances: ImmutableList<Instance>,
)
