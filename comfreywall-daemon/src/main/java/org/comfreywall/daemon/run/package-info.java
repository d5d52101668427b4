/**
 * A process with the roles that its settings name.
 */
package org.comfreywall.daemon.run;
