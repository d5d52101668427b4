/**
 * Invariants asserted at run time.
 */
package org.comfreywall.common.invariant;
