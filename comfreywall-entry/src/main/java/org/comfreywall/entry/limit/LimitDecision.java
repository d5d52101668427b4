package org.comfreywall.entry.limit;

/**
 * The decision of the limits on one request.
 */
public sealed interface LimitDecision permits LimitAdmitted, LimitPending, LimitRefused {

}
