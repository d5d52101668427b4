/**
 * Retries and hedges within budgets and callers' deadlines.
 */
package org.comfreywall.entry.retry;
