/**
 * Lifecycle of a group: assigns members to its ranks, monitors them, and decides whether
 * the group receives requests.
 */
package org.comfreywall.group.life;
