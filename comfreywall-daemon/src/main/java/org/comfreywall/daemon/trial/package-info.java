/**
 * The trial command: entry, sidecars and fake backend servers in one process.
 */
package org.comfreywall.daemon.trial;
