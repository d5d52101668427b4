/**
 * Measurements and randomised runs of the replicated log.
 */
package org.comfreywall.bench.control;
