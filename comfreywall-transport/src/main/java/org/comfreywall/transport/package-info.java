/**
 * Connections between the processes of the system.
 */
package org.comfreywall.transport;
