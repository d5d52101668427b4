/**
 * Small stand-in backend servers for the trial and for tests.
 */
package org.comfreywall.daemon.standin;
