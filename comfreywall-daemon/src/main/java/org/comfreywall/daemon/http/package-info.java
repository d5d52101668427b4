/**
 * TLS for the HTTP listeners.
 */
package org.comfreywall.daemon.http;
