/**
 * Framed, optionally TLS-secured connections between the processes of the system.
 */
package org.comfreywall.transport;
