/**
 * A gateway that forwards requests to backend servers over HTTP without sidecars.
 */
package org.comfreywall.gateway;
