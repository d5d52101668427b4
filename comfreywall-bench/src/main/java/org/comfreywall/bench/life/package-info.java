/**
 * A randomised run of the lifecycle of a group.
 */
package org.comfreywall.bench.life;
