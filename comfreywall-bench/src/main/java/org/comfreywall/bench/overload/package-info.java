/**
 * Measurements of admission and retries under overload.
 */
package org.comfreywall.bench.overload;
