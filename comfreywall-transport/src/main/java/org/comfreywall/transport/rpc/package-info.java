/**
 * Calls with replies, and notices without, between processes.
 */
package org.comfreywall.transport.rpc;
