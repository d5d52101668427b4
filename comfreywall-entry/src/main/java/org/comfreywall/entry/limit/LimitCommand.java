package org.comfreywall.entry.limit;

/**
 * A command that the {@link LimitEnforcer} returns to its caller.
 */
public sealed interface LimitCommand permits SendLeaseRequest {

}
