/**
 * Single-threaded executors with bounded queues.
 */
package org.comfreywall.transport.worker;
