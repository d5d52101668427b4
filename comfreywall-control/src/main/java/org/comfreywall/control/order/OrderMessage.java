package org.comfreywall.control.order;

/**
 * A message about an order to an engine.
 */
public sealed interface OrderMessage permits EngineOrder, OrderReply {

}
