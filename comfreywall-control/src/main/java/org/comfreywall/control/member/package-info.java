/**
 * Membership of nodes by incarnation: joining, suspicion, failure and leaving.
 */
package org.comfreywall.control.member;
