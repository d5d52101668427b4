/**
 * Netty and protobuf transport between processes.
 */
package org.comfreywall.transport;
