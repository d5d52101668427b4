package org.comfreywall.control.log;

/**
 * What an entry of the replicated log carries.
 */
public sealed interface EntryContent permits BarrierContent, CommandContent, MembershipContent {

}
