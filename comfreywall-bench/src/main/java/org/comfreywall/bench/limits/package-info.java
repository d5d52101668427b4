/**
 * Measurements and randomized tests of leased limits, and a benchmark of admission.
 */
package org.comfreywall.bench.limits;
