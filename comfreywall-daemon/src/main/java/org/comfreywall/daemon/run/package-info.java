/**
 * The run command and the daemon process that it starts.
 */
package org.comfreywall.daemon.run;
