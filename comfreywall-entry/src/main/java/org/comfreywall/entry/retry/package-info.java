/**
 * Retries and hedges, limited by retry budgets and callers' deadlines.
 */
package org.comfreywall.entry.retry;
