/**
 * The entry role: takes callers' requests over HTTP.
 */
package org.comfreywall.daemon.entry;
