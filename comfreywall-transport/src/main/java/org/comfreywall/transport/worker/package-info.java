/**
 * Threads that each carry one duty, fed by bounded rings.
 */
package org.comfreywall.transport.worker;
