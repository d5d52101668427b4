package org.comfreywall.gateway.group;

/**
 * Forecast of how often each expert is chosen.
 *
 * @param choiceCounts the expected number of choices, by set of layers and expert
 * @param choicesPerSet the number of choices that the forecast is based on, in one set
 * @param drift the total variation distance of the last round to those before, from 0 to
 * 1
 * @param rounds the number of rounds that the forecast is based on
 */
record TrafficForecast(double[][] choiceCounts, double choicesPerSet, double drift, int rounds) {
}
