/**
 * Durable storage of the replicated log.
 */
package org.comfreywall.control.storage;
