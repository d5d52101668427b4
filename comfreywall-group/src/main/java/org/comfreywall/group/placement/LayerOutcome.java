package org.comfreywall.group.placement;

/**
 * The result of the search for one layer.
 *
 * @param initial the placement that the search started from, with traffic redistributed
 * @param cheapest the option of the lowest price
 * @param fastest the option with the fastest slowest rank
 */
record LayerOutcome(LayerOption initial, LayerOption cheapest, LayerOption fastest) {

}
