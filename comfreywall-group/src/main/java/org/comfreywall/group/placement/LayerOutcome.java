package org.comfreywall.group.placement;

/**
 * What the search found for one layer.
 *
 * @param stay the present slots with traffic split anew
 * @param cheapest the option of the lowest price
 * @param fastest the option of the lowest skew
 */
record LayerOutcome(LayerOption stay, LayerOption cheapest, LayerOption fastest) {

}
