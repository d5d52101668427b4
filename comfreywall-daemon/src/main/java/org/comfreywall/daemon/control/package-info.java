/**
 * The control role: replicates the durable state, grants limits and tracks the members.
 */
package org.comfreywall.daemon.control;
