package org.comfreywall.bench.overload;

/**
 * A period of constant offered load.
 *
 * @param name the name of the phase, as it is reported
 * @param load the load as a multiple of the capacity
 * @param seconds the duration in seconds
 */
record LoadPhase(String name, double load, int seconds) {

}
