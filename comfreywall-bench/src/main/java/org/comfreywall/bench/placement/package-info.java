/**
 * Measures placement policies and weight moves on reproducible simulated loads.
 */
package org.comfreywall.bench.placement;
