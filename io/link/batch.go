package link

import "wagtailhoist/core/batch"

// Report is what an agent tells the owner of its worker.
type Report struct{ batch.Report }

// Orders are what the owner tells an agent.
type Orders struct{ batch.Orders }

// Kind returns KindReport.
func (Report) Kind() Kind { return KindReport }

// Kind returns KindOrders.
func (Orders) Kind() Kind { return KindOrders }
