/**
 * Placement of experts in expert-parallel groups whose engines split an expert's work
 * evenly over its copies: decides when and where experts move, and changes the map of all
 * ranks atomically. Performs no I/O and starts no threads.
 */
package org.comfreywall.gateway.group;
