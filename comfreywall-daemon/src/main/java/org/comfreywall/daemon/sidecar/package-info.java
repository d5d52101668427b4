/**
 * The sidecar role: runs attempts on one backend server and streams the answers to
 * entries.
 */
package org.comfreywall.daemon.sidecar;
