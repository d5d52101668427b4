/**
 * Measures placement plans on seeded drifts of expert popularity.
 */
package org.comfreywall.bench.placement;
