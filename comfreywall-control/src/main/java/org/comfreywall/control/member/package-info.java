/**
 * The membership of nodes by incarnation: joins, suspicion, failure detection and leaves.
 */
package org.comfreywall.control.member;
