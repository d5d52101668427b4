/**
 * Settings shared by the HTTP listeners.
 */
package org.comfreywall.daemon.http;
