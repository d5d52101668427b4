/**
 * Measurements of dissemination, membership and orders.
 */
package org.comfreywall.bench.spread;
