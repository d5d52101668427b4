/**
 * Protects engines that do not check fencing numbers from orders of old leaders.
 */
package org.comfreywall.sidecar.fence;
