/**
 * Decision cores of the entry role: routing, limits, retries, admission and attempts.
 */
package org.comfreywall.entry;
