package org.comfreywall.group.mapswitch;

/**
 * The control instance became leader, so the coordinator may open its term.
 */
public record CoordinatorStarted() implements CoordinatorEvent {

}
