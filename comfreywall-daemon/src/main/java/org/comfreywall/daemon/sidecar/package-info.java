/**
 * The sidecar role: runs attempts on one backend server.
 */
package org.comfreywall.daemon.sidecar;
