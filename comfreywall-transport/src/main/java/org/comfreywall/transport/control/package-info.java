/**
 * Calls to control instances.
 */
package org.comfreywall.transport.control;
