/**
 * The control role: keeps the durable state and knows the members.
 */
package org.comfreywall.daemon.control;
