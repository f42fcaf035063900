package io.sequoiawheel.core.membership

import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.InstanceId
import kotlinx.collections.immutable.ImmutableList

/**
 * The instance list as one watcher saw it.
 *
 * @property watcher the entry instance that polled the list
 * @property sequence rises with each change that this watcher sees
 */
data class MembershipUpdate(
    val watcher: InstanceId,
    val sequence: Long,
    val instances: ImmutableList<Instance>,
)
