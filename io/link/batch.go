package link

import "wagtailhoist/core/batch"

// Report is sent by an agent to the owner of its worker.
type Report struct{ batch.Report }

// Orders is sent by the owner of a worker to the worker's agent.
type Orders struct{ batch.Orders }

// Kind returns KindReport.
func (Report) Kind() Kind { return KindReport }

// Kind returns KindOrders.
func (Orders) Kind() Kind { return KindOrders }
