/**
 * Measures switches of the expert map and tests them under random faults, in a
 * simulation.
 */
package org.comfreywall.bench.mapswitch;
