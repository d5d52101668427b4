/**
 * Two-phase commit that switches all ranks of a group to a new expert map at the same
 * step.
 */
package org.comfreywall.group.mapswitch;
