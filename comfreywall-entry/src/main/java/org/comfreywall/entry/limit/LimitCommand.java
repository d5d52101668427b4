package org.comfreywall.entry.limit;

/**
 * What a limit enforcer wants done.
 */
public sealed interface LimitCommand permits SendAsk {

}
