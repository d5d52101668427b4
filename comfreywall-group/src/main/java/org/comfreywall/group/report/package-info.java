/**
 * Text views of a group for operators.
 */
package org.comfreywall.group.report;
