/**
 * A fake backend server for the trial and for tests.
 */
package org.comfreywall.daemon.standin;
