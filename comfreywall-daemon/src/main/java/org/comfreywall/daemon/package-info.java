/**
 * The comfreywalld daemon.
 */
package org.comfreywall.daemon;
