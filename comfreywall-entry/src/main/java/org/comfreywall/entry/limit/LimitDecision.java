package org.comfreywall.entry.limit;

/**
 * The result of checking a request against the limits of its client account.
 */
public sealed interface LimitDecision permits LimitAdmitted, LimitPending, LimitRefused {

}
