/**
 * Measurements and the randomised run of the expert map switch.
 */
package org.comfreywall.bench.mapswitch;
