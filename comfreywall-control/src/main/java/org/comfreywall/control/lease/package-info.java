/**
 * Grants leases on shares of the client accounts' limits to entry instances.
 */
package org.comfreywall.control.lease;
