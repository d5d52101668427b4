/**
 * Status of a group as text for operators, and its step-time skew.
 */
package org.comfreywall.group.report;
