/**
 * Rejects orders of former leaders on behalf of engines that do not check fencing
 * numbers.
 */
package org.comfreywall.sidecar.fence;
