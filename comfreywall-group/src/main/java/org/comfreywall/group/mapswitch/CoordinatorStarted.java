package org.comfreywall.group.mapswitch;

/**
 * The control instance leads and the coordinator may open its term.
 */
public record CoordinatorStarted() implements CoordinatorEvent {

}
