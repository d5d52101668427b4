package org.comfreywall.entry.route;

/**
 * A command that a router returns to its driver.
 */
public sealed interface RouterCommand permits SubsetChanged, ResyncCache, ServerEjected {

}
