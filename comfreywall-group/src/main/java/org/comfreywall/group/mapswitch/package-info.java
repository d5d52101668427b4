/**
 * Switches all ranks of a group to a new expert map at one step.
 */
package org.comfreywall.group.mapswitch;
