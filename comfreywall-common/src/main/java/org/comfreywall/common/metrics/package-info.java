/**
 * Metrics with a bounded number of labels.
 */
package org.comfreywall.common.metrics;
