/**
 * Placement of experts in expert-parallel groups whose engines split an expert's work
 * evenly over its copies: decides when and where experts move, and changes the map of all
 * ranks atomically. Performs no I/O and starts no threads.
 * <p>
 * A group consists of ranks, each of which is an engine on one backend server. The layers
 * of the model are divided into sets, and each rank holds some experts of each set. Which
 * rank holds which experts is the layout; the map is a layout with a version. The ranks
 * run forward passes together; orders, reports and log lines call a pass a step. Whenever
 * the group is formed again, its epoch increases and the numbers of its passes restart.
 * <p>
 * {@link org.comfreywall.gateway.group.RebalanceCoordinator} plans a new layout from the
 * reports of the ranks, and {@link org.comfreywall.gateway.group.MapSwitch} changes the
 * ranks to it, which is called a switch. A switch is delegated to a deputy on another
 * process, which completes it if the coordinator fails.
 */
package org.comfreywall.gateway.group;
