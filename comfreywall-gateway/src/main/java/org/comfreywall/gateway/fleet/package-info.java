/**
 * Membership of the processes of a fleet: discovery, exchange of updates and the
 * replicated log.
 */
package org.comfreywall.gateway.fleet;
