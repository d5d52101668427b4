/**
 * Invariants checked at run time.
 */
package org.comfreywall.common.invariant;
