/**
 * Decision cores for expert-parallel groups: map switch, placement and moves.
 */
package org.comfreywall.group;
