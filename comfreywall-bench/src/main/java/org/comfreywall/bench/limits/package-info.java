/**
 * Measurements and randomised runs of leased limits and admission.
 */
package org.comfreywall.bench.limits;
