/**
 * Metrics with a bounded number of label values.
 */
package org.comfreywall.common.metrics;
