/**
 * Measurements of admission control and retry budgets under overload.
 */
package org.comfreywall.bench.overload;
