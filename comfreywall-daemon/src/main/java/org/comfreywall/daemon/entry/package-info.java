/**
 * The entry role: receives callers' requests over HTTP and routes them to sidecars.
 */
package org.comfreywall.daemon.entry;
