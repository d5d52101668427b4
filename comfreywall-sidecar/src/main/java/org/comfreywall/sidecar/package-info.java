/**
 * State machines of the sidecar role: attempts, seals and order fencing.
 */
package org.comfreywall.sidecar;
