/**
 * Remote procedure calls and one-way notices between processes.
 */
package org.comfreywall.transport.rpc;
