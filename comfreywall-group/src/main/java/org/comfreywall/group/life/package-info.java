/**
 * Life of a group: which members run its ranks and whether it takes requests.
 */
package org.comfreywall.group.life;
