/**
 * Monotonic clocks.
 */
package org.comfreywall.common.time;
