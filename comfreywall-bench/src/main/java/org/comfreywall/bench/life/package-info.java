/**
 * The randomised run of the life of a group.
 */
package org.comfreywall.bench.life;
