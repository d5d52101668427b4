package org.comfreywall.bench.overload;

/**
 * A stretch of constant offered load.
 *
 * @param name the phase's name
 * @param load the load as a multiple of the capacity
 * @param seconds its length
 */
record LoadPhase(String name, double load, int seconds) {

}
