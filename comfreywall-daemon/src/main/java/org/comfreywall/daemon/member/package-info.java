/**
 * Membership of this process: heartbeats to the control instances, and the configuration
 * and members received with the replies.
 */
package org.comfreywall.daemon.member;
