package org.comfreywall.gateway.group;

/**
 * Forecast of how often each expert is chosen.
 *
 * @param chosen the expected choices by set and expert
 * @param total the number of choices that the forecast rests on, in one set
 * @param drift the total variation distance of the last round to those before, from 0 to
 * 1
 * @param rounds the number of rounds that the forecast rests on
 */
record TrafficForecast(double[][] chosen, double total, double drift, int rounds) {
}
