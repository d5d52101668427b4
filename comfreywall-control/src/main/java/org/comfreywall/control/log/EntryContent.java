package org.comfreywall.control.log;

/**
 * The content of an entry of the replicated log.
 */
public sealed interface EntryContent permits BarrierContent, CommandContent, MembershipContent {

}
