package org.comfreywall.entry.route;

/**
 * What a router asks of its driver.
 */
public sealed interface RouterCommand permits SubsetChanged, ResyncCache, ServerEjected {

}
