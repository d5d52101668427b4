/**
 * All roles and stand-in backend servers in one process.
 */
package org.comfreywall.daemon.trial;
