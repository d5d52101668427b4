/**
 * Renders a self-contained HTML page of a group's step-time skew and bytes read over
 * time.
 */
package org.comfreywall.group.page;
