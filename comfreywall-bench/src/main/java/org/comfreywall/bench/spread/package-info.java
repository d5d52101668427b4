/**
 * Measurements and randomised runs of dissemination, membership and orders.
 */
package org.comfreywall.bench.spread;
