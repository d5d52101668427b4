/**
 * Messages and durations of the leases by which shares of client accounts' limits are
 * granted to entry instances.
 */
package org.comfreywall.common.lease;
