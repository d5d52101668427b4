package org.comfreywall.group.mapswitch;

/**
 * Periodic timer event, sent at least every {@link CoordinatorSettings#retryNanos()}.
 */
public record CoordinatorTick() implements CoordinatorEvent {

}
