/**
 * The questionnaire, its answers, and what is generated from them.
 */
package org.comfreywall.cli.init;
